import type { Scrape } from '../../BaobabwellReportsScrapes';

import { expect } from 'earl';

import { buildBurnReport } from '../../BaobabwellReportsBurn';
import { formatBurnPage } from '../../BaobabwellReportsHtml';
import { buildScrape, formatScrape, parseScrapes } from '../../BaobabwellReportsScrapes';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const START = Date.UTC(2026, 11, 3);
const OBJECTIVE = { queue: 'enrolments', success: 0.99, latencyMs: 2_000, windowMs: 30 * DAY_MS };

/** Lists one scrape per minute of an entry; `getFailed` returns how many of 100 calls fail per minute. */
function listScrapes(
  minutes: number,
  getFailed: (minute: number) => number,
  entry = 'entry-1',
): readonly Scrape[] {
  let [met, failed] = [0, 0];
  return Array.from({ length: minutes }, (_, minute) => {
    failed += getFailed(minute);
    met += 100 - getFailed(minute);
    const at = START + (minute + 1) * MINUTE_MS;
    return { at, entry, startedAt: START, queues: { enrolments: { met, slow: 0, failed } } };
  });
}

function summarize(scrapes: readonly Scrape[]): unknown {
  const [burn] = buildBurnReport(scrapes, [OBJECTIVE]).queues;
  return {
    calls: burn?.calls,
    budgetLeft: burn?.budgetLeft.toFixed(3),
    covered: burn?.coveredMs,
    rates: burn?.windows.map(({ burnRate }) => burnRate?.toFixed(2)),
    firing: burn?.alerts.map(({ threshold, firing }) => [threshold.toFixed(1), firing]),
  };
}

describe('buildBurnReport', () => {
  it('raises pages during a fast burn, and clears the most urgent one within ten minutes', function () {
    const isBad = (minute: number): boolean => minute >= 120 && minute < 180;
    const scrapes = listScrapes(240, (minute) => (isBad(minute) ? 20 : 0));
    expect({
      during: summarize(scrapes.slice(0, 180)),
      after: summarize(scrapes.slice(0, 190)),
    }).toMatchSnapshot(this);
  });

  it('raises a ticket, and no page, for a sustained slow burn', function () {
    expect(summarize(listScrapes(3 * 24 * 60, () => 2))).toMatchSnapshot(this);
  });

  it('sums the calls of all entries and continues the counts across a restart', function () {
    const first = listScrapes(60, () => 1);
    const second = listScrapes(30, () => 1, 'entry-2');
    const restartedAt = START + 31 * MINUTE_MS;
    const restarted = listScrapes(20, () => 1, 'entry-2').map((scrape) => ({
      ...scrape,
      at: scrape.at + 31 * MINUTE_MS,
      startedAt: restartedAt,
    }));
    expect(summarize([...first, ...second, ...restarted])).toMatchSnapshot(this);
  });

  it('reports no burn rates and no alerts without calls', () => {
    const [burn] = buildBurnReport([], [OBJECTIVE]).queues;
    expect(burn?.windows.every(({ burnRate }) => burnRate === null)).toEqual(true);
    expect(burn?.alerts.some(({ firing }) => firing)).toEqual(false);
  });
});

describe('scrapes', () => {
  it('are built from the metrics of an entry and can be stored in a file', () => {
    const metrics = [
      {
        name: 'baobabwell_objective_calls_total',
        values: [
          { value: 7, labels: { queue: 'enrolments', result: 'met' } },
          { value: 2, labels: { queue: 'enrolments', result: 'failed' } },
        ],
      },
      { name: 'process_start_time_seconds', values: [{ value: 10, labels: {} }] },
    ];
    const scrape = buildScrape('entry-1', 20_000, metrics);
    expect(scrape).toEqual({
      at: 20_000,
      entry: 'entry-1',
      startedAt: 10_000,
      queues: { enrolments: { met: 7, slow: 0, failed: 2 } },
    });
    const text = `${scrape === null ? '' : formatScrape(scrape)}\n`;
    expect(parseScrapes(text, 'a')).toEqual({ ok: true, value: scrape === null ? [] : [scrape] });
    const broken = parseScrapes(`${text}nonsense\n{}\n`, 'a');
    expect(broken.ok ? [] : broken.error.map(({ place }) => place.line)).toEqual([2, 3]);
  });
});

describe('formatBurnPage', () => {
  it('refers to no external resources and escapes names', () => {
    const report = buildBurnReport(
      listScrapes(60, () => 2),
      [OBJECTIVE, { ...OBJECTIVE, queue: '<b>' }],
    );
    const page = formatBurnPage(report, 'demo');
    expect(/src=|href=|url\(|@import|<script|<b>|NaN|Infinity/.test(page)).toEqual(false);
    expect(page.match(/<svg /g)?.length).toEqual(4);
  });
});
