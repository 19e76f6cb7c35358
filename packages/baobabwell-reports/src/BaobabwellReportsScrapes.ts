/** Scrapes of an entry's objective counters at one point in time, and the file that stores them. */
import type { Finding, Result } from '@baobabwell/utils';

import { z } from 'zod';

import { createError, createOk } from '@baobabwell/utils';

const OBJECTIVE_METRIC = 'baobabwell_objective_calls_total';
const START_METRIC = 'process_start_time_seconds';
const MS_PER_SECOND = 1_000;

const countsSchema = z.object({
  met: z.number().default(0),
  slow: z.number().default(0),
  failed: z.number().default(0),
});

const scrapeSchema = z.object({
  at: z.number(),
  entry: z.string(),
  startedAt: z.number(),
  queues: z.record(z.string(), countsSchema),
});

const metricsSchema = z.array(
  z.object({
    name: z.string(),
    values: z.array(
      z.object({
        value: z.number(),
        labels: z.record(z.string(), z.union([z.string(), z.number()])).default({}),
      }),
    ),
  }),
);

/** Number of calls of a queue since the entry started, by objective result. */
export type ObjectiveCounts = z.infer<typeof countsSchema>;

/** The objective counts of one entry; times are wall-clock milliseconds. */
export type Scrape = z.infer<typeof scrapeSchema>;

/**
 * Builds a scrape from the metrics of an entry as JSON.
 *
 * @returns `null` when the value is not the metrics of an entry.
 */
export function buildScrape(entry: string, at: number, value: unknown): Scrape | null {
  const metrics = metricsSchema.safeParse(value);
  if (!metrics.success) {
    return null;
  }
  const listValues = (name: string): z.infer<typeof metricsSchema>[number]['values'] =>
    metrics.data.find((metric) => metric.name === name)?.values ?? [];
  const queues: Record<string, ObjectiveCounts> = {};
  listValues(OBJECTIVE_METRIC).forEach(({ labels, value: count }) => {
    const queue = String(labels['queue']);
    queues[queue] ??= { met: 0, slow: 0, failed: 0 };
    queues[queue] = { ...queues[queue], [String(labels['result'])]: count };
  });
  const startedAt = (listValues(START_METRIC)[0]?.value ?? at / MS_PER_SECOND) * MS_PER_SECOND;
  return { at, entry, startedAt, queues };
}

/** Formats a scrape as one line of a scrape file. */
export function formatScrape(scrape: Scrape): string {
  return JSON.stringify(scrape);
}

function parseLine(line: string): Scrape | null {
  try {
    return scrapeSchema.safeParse(JSON.parse(line)).data ?? null;
  } catch {
    return null;
  }
}

/** Parses a file with one scrape per line; returns a finding for each invalid line instead, if any. */
export function parseScrapes(
  text: string,
  file: string,
): Result<readonly Scrape[], readonly Finding[]> {
  const lines = text.split('\n').map((line, index) => ({ line, number: index + 1 }));
  const parsed = lines
    .filter(({ line }) => line.trim() !== '')
    .map(({ line, number }) => ({ scrape: parseLine(line), number }));
  const findings = parsed
    .filter(({ scrape }) => scrape === null)
    .map(({ number }) => ({
      place: { file, line: number, column: 1, path: '' },
      problem: 'is not a scrape',
      allowed: 'a line written by report burn --store',
    }));
  return findings.length > 0
    ? createError(findings)
    : createOk(parsed.flatMap(({ scrape }) => scrape ?? []));
}
