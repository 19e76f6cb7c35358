import { expect } from 'earl';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';

import { DaemonMetrics } from '@baobabwell/metrics';

const ROOT = join(__dirname, '../../../../..');

/** Folders of all code that logs events in a process of the fleet. */
const SOURCES = [
  'packages/baobabwell-controller/src',
  'packages/baobabwell-daemon/src',
  'packages/baobabwell-ingress/src',
  'packages/baobabwell-logging/src',
  'packages/baobabwell-ownership/src',
  'platform',
];

const EVENT_IN_CODE =
  /(?:record(?:Error|Warning|Info)|formatEvent)\(\s*(?:at, 'warn', )?(?:\w+ \? )?'([a-z-]+)'(?: : '([a-z-]+)')?/g;

const CODE_WORD = /`([a-z_][a-z_-]+)`/g;

async function readSection(title: string): Promise<string> {
  const page = await readFile(join(ROOT, 'docs/OPERATIONS.md'), 'utf8');
  const start = page.indexOf(`\n## ${title}\n`);
  const end = page.indexOf('\n## ', start + 1);
  return page.slice(start, end < 0 ? undefined : end);
}

/** Lists the words formatted as code in the first column of a section's table. */
async function listDocumented(title: string): Promise<readonly string[]> {
  const section = await readSection(title);
  return section
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .flatMap((line) =>
      [...(line.split('|')[1] ?? '').matchAll(CODE_WORD)].map(([, word = '']) => word),
    )
    .toSorted();
}

async function listEventsIn(folder: string): Promise<readonly string[]> {
  const entries = await readdir(join(ROOT, folder), { withFileTypes: true });
  const texts = await Promise.all(
    entries
      .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
      .map(async ({ name }) => readFile(join(ROOT, folder, name), 'utf8')),
  );
  return texts
    .flatMap((text) => [...text.matchAll(EVENT_IN_CODE)])
    .flatMap(([, first, second]) => [first, second])
    .flatMap((name) => name ?? []);
}

async function listEventsInCode(): Promise<readonly string[]> {
  const found = await Promise.all(SOURCES.map(listEventsIn));
  return [...new Set(found.flat())].toSorted();
}

describe('docs/OPERATIONS.md', () => {
  it('lists every metric of a process and no other', async () => {
    const names = new DaemonMetrics().registry.getMetricsAsArray().map(({ name }) => name);
    expect(await listDocumented('Metrics')).toEqual(names.toSorted());
  });

  it('lists every logged event and no other', async () => {
    expect(await listDocumented('Events')).toEqual(await listEventsInCode());
  });

  it('lists the labels of every metric', async () => {
    const section = await readSection('Metrics');
    const rows = section.split('\n');
    new DaemonMetrics().registry.getMetricsAsArray().forEach((metric) => {
      const row = rows.find((line) => line.startsWith(`| \`${metric.name}\``)) ?? '';
      const labels = (row.split('|')[2] ?? '').trim().split(', ').filter(Boolean);
      const { labelNames } = metric as unknown as { readonly labelNames: readonly string[] };
      expect(labels).toEqual([...labelNames]);
    });
  });
});
