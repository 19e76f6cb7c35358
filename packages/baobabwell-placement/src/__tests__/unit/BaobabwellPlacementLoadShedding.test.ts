import { expect } from 'earl';

import { ADMITTED_SHARE_INTERVAL_MS, computeAdmittedShare } from '../../index';

/** Jobs that the owner's processor places in a second. */
const RATE = 100;

/** Time after which a start is of no use to its caller, in ms. */
const USEFUL_MS = 1_000;

const STEP_MS = 10;

/** Arrivals a second over time, as [jobs a second, ms]: a turn of five times the mean between two calm spells. */
const TURN = [
  [60, 5_000],
  [300, 10_000],
  [60, 15_000],
] as const;

/** Replays arrivals at an owner whose backlog makes its timers late. */
function replay(adapt: (share: number, latenessMs: number) => number) {
  let share = 1;
  let backlog = 0;
  let usefulStarts = 0;
  let lowestShare = 1;
  let sinceChangeMs = 0;
  TURN.forEach(([perSecond, durationMs]) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      const admitted = (perSecond * share * STEP_MS) / 1_000;
      const latenessMs = (backlog / RATE) * 1_000;
      usefulStarts += latenessMs < USEFUL_MS ? admitted : 0;
      backlog = Math.max(0, backlog + admitted - (RATE * STEP_MS) / 1_000);
      sinceChangeMs += STEP_MS;
      if (sinceChangeMs >= ADMITTED_SHARE_INTERVAL_MS) {
        sinceChangeMs = 0;
        share = adapt(share, latenessMs);
        lowestShare = Math.min(lowestShare, share);
      }
    }
  });
  return { usefulStarts: Math.round(usefulStarts), lowestShare, share };
}

describe('computeAdmittedShare', () => {
  it('keeps most of the processor for starts in time through a turn of five times the mean', () => {
    const baseline = replay(() => 1);
    const adapted = replay(computeAdmittedShare);
    // What the owner can place: all calm arrivals, and its rate through the turn.
    const most = 60 * 5 + RATE * 10 + 60 * 15;
    expect(adapted.usefulStarts > 0.8 * most).toEqual(true);
    expect(baseline.usefulStarts < 0.6 * most).toEqual(true);
  });

  it('admits all jobs again after the turn', () => {
    expect(replay(computeAdmittedShare).share).toEqual(1);
  });

  it('never refuses while timers are on time, and always admits some jobs', () => {
    expect(computeAdmittedShare(1, 200)).toEqual(1);
    const shares = Array.from({ length: 30 }).reduce<number>(
      (share) => computeAdmittedShare(share, 900),
      1,
    );
    expect(shares).toEqual(0.05);
  });
});
