/** Formatting of plots as inline SVG. */

/** A line of a plot; `null` values leave a gap. */
export type PlotLine = {
  readonly name: string;
  readonly style: string;
  readonly points: readonly { readonly at: number; readonly value: number | null }[];
};

/** A horizontal line that marks a bound in a plot. */
export type PlotBound = { readonly name: string; readonly style: string; readonly value: number };

/** Contents of a plot. */
export type Plot = {
  readonly title: string;
  readonly lines: readonly PlotLine[];
  readonly bounds: readonly PlotBound[];
  readonly formatValue: (value: number) => string;
};

const WIDTH = 640;
const HEIGHT = 200;
const MARGIN = { left: 56, right: 12, top: 12, bottom: 26 };
const TICK_INTERVALS = 4;
const TIME_LABEL_LENGTH = 16;

type Scale = { readonly getX: (at: number) => number; readonly getY: (value: number) => number };

type Range = {
  readonly from: number;
  readonly to: number;
  readonly low: number;
  readonly high: number;
};

function getRange({ lines, bounds }: Plot): Range {
  const points = lines.flatMap((line) => line.points);
  const times = points.map(({ at }) => at);
  const values = points.flatMap(({ value }) => value ?? []);
  const plottedValues = [...values, ...bounds.map(({ value }) => value), 0];
  const high = Math.max(...plottedValues);
  const low = Math.min(...plottedValues);
  return {
    from: Math.min(...times),
    to: Math.max(...times),
    low,
    high: high === low ? low + 1 : high,
  };
}

function createScale({ from, to, low, high }: Range): Scale {
  const width = WIDTH - MARGIN.left - MARGIN.right;
  const height = HEIGHT - MARGIN.top - MARGIN.bottom;
  return {
    getX: (at) => MARGIN.left + ((at - from) / Math.max(1, to - from)) * width,
    getY: (value) => MARGIN.top + (1 - (value - low) / (high - low)) * height,
  };
}

function formatLine({ points, style }: PlotLine, { getX, getY }: Scale): string {
  const commands = points.map(({ at, value }, index) => {
    if (value === null) {
      return '';
    }
    const isFirst = (points[index - 1]?.value ?? null) === null;
    return `${isFirst ? 'M' : 'L'}${getX(at).toFixed(1)} ${getY(value).toFixed(1)}`;
  });
  return `<path class="line ${style}" d="${commands.join('')}"/>`;
}

function formatBound({ value, style }: PlotBound, { getY }: Scale): string {
  const y = getY(value).toFixed(1);
  return `<line class="bound ${style}" x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y}" y2="${y}"/>`;
}

function formatGrid(range: Range, { getY }: Scale, formatValue: Plot['formatValue']): string {
  return Array.from({ length: TICK_INTERVALS + 1 }, (_, index) => {
    const value = range.low + ((range.high - range.low) * index) / TICK_INTERVALS;
    const y = getY(value).toFixed(1);
    const line = `<line class="grid" x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y}" y2="${y}"/>`;
    const label = `<text class="label" x="${MARGIN.left - 6}" y="${y}" dy="4" text-anchor="end">${formatValue(value)}</text>`;
    return line + label;
  }).join('');
}

function formatTime(at: number): string {
  return new Date(at).toISOString().slice(0, TIME_LABEL_LENGTH).replace('T', ' ');
}

function formatTimeLabels({ from, to }: Range): string {
  const y = HEIGHT - 8;
  const first = `<text class="label" x="${MARGIN.left}" y="${y}">${formatTime(from)}</text>`;
  const last = `<text class="label" x="${WIDTH - MARGIN.right}" y="${y}" text-anchor="end">${formatTime(to)}</text>`;
  return first + last;
}

function formatLegend({ lines, bounds }: Plot): string {
  const items = [
    ...lines.map(({ name, style }) => `<span class="key ${style}">${name}</span>`),
    ...bounds.map(({ name, style }) => `<span class="key dashed ${style}">${name}</span>`),
  ];
  return `<figcaption>${items.join(' ')}</figcaption>`;
}

/** Formats a plot as an HTML figure with a legend. */
export function formatPlot(plot: Plot): string {
  const range = getRange(plot);
  const scale = createScale(range);
  const parts = [
    formatGrid(range, scale, plot.formatValue),
    formatTimeLabels(range),
    ...plot.bounds.map((bound) => formatBound(bound, scale)),
    ...plot.lines.map((line) => formatLine(line, scale)),
  ];
  const svg = `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${plot.title}">${parts.join('')}</svg>`;
  return `<figure><h3>${plot.title}</h3>${svg}${formatLegend(plot)}</figure>`;
}
