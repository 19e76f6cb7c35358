/** Formats the progress of a local deployment from the metrics of its entries. */
import { fetch } from 'undici';
import { z } from 'zod';

import { Outcome } from '@baobabwell/model';

const metricsSchema = z.array(
  z.object({
    name: z.string(),
    values: z.array(
      z.object({
        value: z.number(),
        metricName: z.string().optional(),
        labels: z.record(z.string(), z.union([z.string(), z.number()])).default({}),
      }),
    ),
  }),
);

type Metrics = z.infer<typeof metricsSchema>;

async function readMetrics(address: string): Promise<Metrics> {
  const reply = await fetch(`http://${address}/metrics.json`);
  return metricsSchema.parse(await reply.json());
}

function sumValues(
  all: readonly Metrics[],
  name: string,
  labels: Readonly<Record<string, string>> = {},
): number {
  return all
    .flat()
    .filter((metric) => metric.name === name)
    .flatMap(({ values }) => values)
    .filter((sample) =>
      Object.entries(labels).every(([key, value]) => sample.labels[key] === value),
    )
    .reduce((sum, { value }) => sum + value, 0);
}

/** Formats the calls and slots of all entries as one line. */
export async function formatProgress(addresses: readonly string[]): Promise<string> {
  const all = await Promise.all(addresses.map(readMetrics));
  const sumOutcome = (outcome: Outcome): number =>
    sumValues(all, 'baobabwell_calls_total', { outcome });
  const counts = [
    `calls ${sumValues(all, 'baobabwell_calls_total')}`,
    `completed ${sumOutcome(Outcome.Completed)}`,
    `not run ${sumOutcome(Outcome.NotRun)}`,
    `unknown ${sumOutcome(Outcome.Unknown)}`,
    `waiting ${sumValues(all, 'baobabwell_waiting_calls')}`,
    `slots in use ${sumValues(all, 'baobabwell_used_slots')}`,
  ];
  return counts
    .map((text) => text.padEnd(16))
    .join('')
    .trimEnd();
}
