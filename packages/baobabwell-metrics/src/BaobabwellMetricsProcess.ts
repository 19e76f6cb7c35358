import type { FastifyInstance } from 'fastify';
import type { MetricObjectWithValues, MetricValue } from 'prom-client';

import { Registry } from 'prom-client';

/** Buckets of durations, in seconds. */
export const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** Updates gauges before they are read. */
export type CollectGauges = () => void;

/** Registry of the metrics of one process. */
export class ProcessMetrics {
  readonly registry = new Registry();

  readonly #collectors = new Set<CollectGauges>();

  /** Registers a function that is called before each read; returns a function that unregisters it. */
  registerCollector(collect: CollectGauges): () => void {
    this.#collectors.add(collect);
    return () => {
      this.#collectors.delete(collect);
    };
  }

  /** Formats all metrics in the Prometheus text format. */
  async format(): Promise<string> {
    this.#collectors.forEach((collect) => collect());
    return this.registry.metrics();
  }

  /** Lists all metrics with their values. */
  async list(): Promise<readonly MetricObjectWithValues<MetricValue<string>>[]> {
    this.#collectors.forEach((collect) => collect());
    return this.registry.getMetricsAsJSON();
  }
}

/** Registers routes that return the metrics as Prometheus text and, for reports, as JSON. */
export function registerMetricsRoutes(server: FastifyInstance, metrics: ProcessMetrics): void {
  server.get('/metrics', async (_request, reply) =>
    reply.type(metrics.registry.contentType).send(await metrics.format()),
  );
  server.get('/metrics.json', async () => metrics.list());
}
