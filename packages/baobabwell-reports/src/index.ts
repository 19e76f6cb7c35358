export type {
  BurnAlert,
  BurnPoint,
  BurnReport,
  QueueBurn,
  QueueObjective,
  WindowBurn,
} from './BaobabwellReportsBurn';
export type { BurnRule } from './BaobabwellReportsConstants';
export type { ObjectiveCounts, Scrape } from './BaobabwellReportsScrapes';

export { buildBurnReport } from './BaobabwellReportsBurn';
export { AlertSeverity, BURN_RULES } from './BaobabwellReportsConstants';
export { formatDuration, formatPercentage, formatRate } from './BaobabwellReportsFormat';
export { formatBurnPage } from './BaobabwellReportsHtml';
export { buildScrape, formatScrape, parseScrapes } from './BaobabwellReportsScrapes';
