/** The burn report as a self-contained HTML page without scripts or external resources. */
import type { BurnAlert, BurnReport, QueueBurn } from './BaobabwellReportsBurn';

import { BURN_RULES } from './BaobabwellReportsConstants';
import { formatDuration, formatPercentage, formatRate } from './BaobabwellReportsFormat';
import { formatPlot } from './BaobabwellReportsPlot';

const LINE_STYLES = ['first', 'second', 'third'];

const STYLE = `
:root { color-scheme: light dark; --text: #1d2329; --soft: #66717c; --edge: #d6dce2; --page: #fff;
  --good: #1a7f4b; --bad: #c22f2f; --first: #c22f2f; --second: #b06a00; --third: #2a5db0; }
@media (prefers-color-scheme: dark) { :root { --text: #e4e8ec; --soft: #9aa5b1; --edge: #3a444e;
  --page: #14181c; --good: #4cc38a; --bad: #ff6b6b; --first: #ff6b6b; --second: #f0b429;
  --third: #7aa7ff; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--text); background: var(--page);
  max-width: 1360px; margin: 2rem auto; padding: 0 1.5rem; }
h1 { font-size: 1.6rem; margin-bottom: 0; } h2 { margin: 2.5rem 0 .25rem; } h3 { font-size: 1rem; margin: 0 0 .25rem; }
p { color: var(--soft); margin: .25rem 0 1rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: right; padding: .35rem .75rem; border-bottom: 1px solid var(--edge); }
th:first-child, td:first-child { text-align: left; } th { color: var(--soft); font-weight: 600; }
td { font-variant-numeric: tabular-nums; }
.good { color: var(--good); } .bad { color: var(--bad); font-weight: 600; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(420px, 1fr)); gap: 1.5rem; margin-top: 1rem; }
figure { margin: 0; } svg { width: 100%; height: auto; }
.grid { stroke: var(--edge); stroke-width: 1; } .label { fill: var(--soft); font-size: 11px; }
.line { fill: none; stroke: currentColor; stroke-width: 2; }
.bound { stroke: currentColor; stroke-width: 1; stroke-dasharray: 5 4; }
.first { color: var(--first); } .second { color: var(--second); } .third { color: var(--third); }
.key { font-size: .85rem; margin-right: 1rem; } .key::before { content: ""; display: inline-block;
  width: 1.4em; border-top: 2px solid currentColor; vertical-align: middle; margin-right: .4em; }
.key.dashed::before { border-top: 1px dashed currentColor; }
`;

const HTML_ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"]/g, (character) => HTML_ESCAPES[character] ?? character);
}

function formatAlert({ severity, longMs, shortMs, firing }: BurnAlert): string {
  const name = `${severity} ${formatDuration(longMs)}/${formatDuration(shortMs)}`;
  return firing ? `<span class="bad">${name}</span>` : '';
}

/** Formats the firing alerts, or `none`. */
function formatAlerts(alerts: readonly BurnAlert[]): string {
  const firing = alerts.filter((alert) => alert.firing).map(formatAlert);
  return firing.length === 0 ? '<span class="good">none</span>' : firing.join(', ');
}

function formatRow(burn: QueueBurn): string {
  const { queue, success, latencyMs, windowMs, calls, budgetLeft, windows, alerts } = burn;
  const objective = `${formatPercentage(success)} in ${formatDuration(latencyMs)}`;
  const cells = [
    escapeHtml(queue),
    `${objective} over ${formatDuration(windowMs)}`,
    String(calls.met + calls.slow + calls.failed),
    String(calls.slow),
    String(calls.failed),
    `<span class="${budgetLeft > 0 ? 'good' : 'bad'}">${formatPercentage(budgetLeft)}</span>`,
    ...windows.map(({ burnRate }) => formatRate(burnRate)),
    formatAlerts(alerts),
  ];
  return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`;
}

function formatTable({ queues }: BurnReport): string {
  const windows = queues[0]?.windows ?? [];
  const headings = [
    'Queue',
    'Objective',
    'Calls',
    'Slow',
    'Failed',
    'Budget left',
    ...windows.map(({ windowMs }) => `Burn ${formatDuration(windowMs)}`),
    'Alerts',
  ];
  const head = headings.map((text) => `<th>${text}</th>`).join('');
  return `<table><thead><tr>${head}</tr></thead><tbody>${queues.map(formatRow).join('')}</tbody></table>`;
}

function formatBurnPlot({ history, windowMs }: QueueBurn): string {
  return formatPlot({
    title: 'Burn rate by window',
    lines: BURN_RULES.map(({ longMs }, index) => ({
      name: formatDuration(longMs),
      style: LINE_STYLES[index] ?? '',
      points: history.map(({ at, burnRates }) => ({ at, value: burnRates[index] ?? null })),
    })),
    bounds: BURN_RULES.map(({ budgetFraction, longMs }, index) => ({
      name: `alert at ${formatRate((budgetFraction * windowMs) / longMs)}`,
      style: LINE_STYLES[index] ?? '',
      value: (budgetFraction * windowMs) / longMs,
    })),
    formatValue: (value) => value.toFixed(1),
  });
}

function formatBudgetPlot({ history }: QueueBurn): string {
  return formatPlot({
    title: 'Error budget left',
    lines: [
      {
        name: 'budget left',
        style: 'third',
        points: history.map(({ at, budgetLeft }) => ({ at, value: budgetLeft })),
      },
    ],
    bounds: [{ name: 'exhausted', style: 'first', value: 0 }],
    formatValue: (value) => formatPercentage(value, 0),
  });
}

function formatQueue(burn: QueueBurn): string {
  const coverage = formatPercentage(burn.coveredMs / burn.windowMs, 1);
  const coverageText = `Scrapes cover ${coverage} of the ${formatDuration(burn.windowMs)} window.`;
  const plots = `${formatBurnPlot(burn)}${formatBudgetPlot(burn)}`;
  return `<section><h2>${escapeHtml(burn.queue)}</h2><p>${coverageText}</p><div class="plots">${plots}</div></section>`;
}

/** Formats the report as an HTML page. */
export function formatBurnPage(report: BurnReport, deployment: string): string {
  const title = `Service-level burn of ${escapeHtml(deployment)}`;
  const timestamp = new Date(report.at).toISOString();
  const summary = `As of ${timestamp}, from ${report.entries.length} entries. A burn rate of 1 uses up the error budget exactly over the window of the objective.`;
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title>`,
    '<meta name="viewport" content="width=device-width, initial-scale=1">',
    `<style>${STYLE}</style></head><body>`,
    `<h1>${title}</h1><p>${summary}</p>`,
    formatTable(report),
    ...report.queues.map(formatQueue),
    '</body></html>',
    '',
  ].join('\n');
}
