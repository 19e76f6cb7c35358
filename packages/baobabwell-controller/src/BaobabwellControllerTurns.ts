import type { TermContext } from './BaobabwellControllerContext';
import type { DemandSample } from '@baobabwell/fleet';
import type { JsonValue } from '@baobabwell/platform';

import { z } from 'zod';

import { BurstPredictor, divideHeadroom, isBetweenBursts } from '@baobabwell/fleet';

import { BURSTS_ENDED_MS, HEADROOM_SHARE, MAX_TURNS_AGE_MS } from './BaobabwellControllerConstants';

/** What an owner learned of bursts, with times in ms since 1970. */
const turnsSection = z.object({
  lastBurstsAtMs: z.record(z.string(), z.number()),
  record: z.object({
    peaks: z.array(z.number()),
    startsMs: z.array(z.number()),
    endedAtMs: z.record(z.string(), z.number()),
    bursts: z.record(
      z.string(),
      z.object({ startedAtMs: z.number(), peakHosts: z.number(), lastLoadedAtMs: z.number() }),
    ),
  }),
});

/** What is learned of the bursts that pools have in turns; passes from one owner to the next. */
export class Turns {
  readonly #context: TermContext;

  readonly #burstPredictor = new BurstPredictor();

  /** Monotonic time at which each pool last had a burst, in ms. */
  readonly #lastBurstAtMs = new Map<string, number>();

  /** Difference of the wall clock and the monotonic clock at the start of the term, in ms. */
  readonly #wallOffsetMs: number;

  constructor(context: TermContext) {
    this.#context = context;
    this.#wallOffsetMs = Math.round(context.clock.getWallTime() - context.clock.getNow());
    context.handover.register({
      name: 'turns',
      save: () => this.#save(),
      restore: (value, ageMs) => this.#restore(value, ageMs),
    });
  }

  /**
   * Records the demand on a pool, and returns the hosts beyond its base that it is predicted to require
   * soon.
   */
  recordDemand(sample: DemandSample, minBurstHosts: number, nowMs: number): number {
    if (sample.extraHosts >= minBurstHosts) {
      this.#lastBurstAtMs.set(sample.pool, nowMs);
    }
    const lastStartMs = this.#burstPredictor.listStartsMs().at(-1) ?? null;
    const predictedHosts = this.#burstPredictor.record(sample, minBurstHosts, nowMs);
    const { metrics, logger } = this.#context;
    metrics.poolHosts.set({ pool: sample.pool, state: 'predicted' }, predictedHosts);
    if (this.#burstPredictor.listStartsMs().at(-1) !== (lastStartMs ?? undefined)) {
      logger.recordInfo('burst-started', {
        pool: sample.pool,
        sinceLastMs: lastStartMs && Math.round(nowMs - lastStartMs),
        extraHosts: sample.extraHosts,
        predictedHosts,
      });
    }
    return predictedHosts;
  }

  /** Divides the headroom among the pools whose burst may be next. */
  divideHeadroom(machineCount: number, nowMs: number): ReadonlyMap<string, number> {
    const pools = this.#context.getConfiguration()?.pools ?? [];
    const lastBurstAtMs = Math.max(...this.#lastBurstAtMs.values());
    const hasNoRecentBurst =
      this.#lastBurstAtMs.size > 0 && nowMs - lastBurstAtMs > BURSTS_ENDED_MS;
    const hasHeadroom =
      !hasNoRecentBurst && !isBetweenBursts(this.#burstPredictor.listStartsMs(), nowMs);
    return divideHeadroom(
      pools
        .filter(({ isSpare }) => !isSpare)
        .map(({ name }) => ({
          name,
          idleMs: nowMs - (this.#lastBurstAtMs.get(name) ?? -Infinity),
        })),
      hasHeadroom ? Math.floor(machineCount * HEADROOM_SHARE) : 0,
    );
  }

  #save(): z.infer<typeof turnsSection> {
    return {
      lastBurstsAtMs: Object.fromEntries(
        [...this.#lastBurstAtMs].map(([pool, atMs]) => [pool, atMs + this.#wallOffsetMs]),
      ),
      record: this.#burstPredictor.save(this.#wallOffsetMs) as z.infer<
        typeof turnsSection
      >['record'],
    };
  }

  #restore(value: JsonValue, ageMs: number): void {
    const { clock, logger } = this.#context;
    const { data } = turnsSection.safeParse(value);
    if (data === undefined || ageMs > MAX_TURNS_AGE_MS) {
      logger.recordWarning('turns-not-restored', { ageMs, isReadable: data !== undefined });
      return;
    }
    const nowMs = clock.getNow();
    Object.entries(data.lastBurstsAtMs).forEach(([pool, burstAtMs]) => {
      const atMs = Math.min(nowMs, burstAtMs - this.#wallOffsetMs);
      this.#lastBurstAtMs.set(pool, Math.max(atMs, this.#lastBurstAtMs.get(pool) ?? -Infinity));
    });
    this.#burstPredictor.restore(data.record, -this.#wallOffsetMs, nowMs);
    logger.recordInfo('turns-restored', {
      ageMs,
      peaks: data.record.peaks.join(','),
      starts: data.record.startsMs.length,
      running: Object.keys(data.record.bursts).join(','),
    });
  }
}
