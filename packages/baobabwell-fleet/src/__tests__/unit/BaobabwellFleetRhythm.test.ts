import { expect } from 'earl';

import { TurnRhythm } from '../../index';

const STEP_MS = 100;
const LEAST_HOSTS = 3;
const PEAK_HOSTS = 16;
const RAMP_MS = 2_000;
const TURN_MS = 5_000;

/** Hosts asked for some time after the beginning of a turn, as they were seen on the users' sites. */
function getAsked(sinceMs: number): number {
  if (sinceMs < 0 || sinceMs >= TURN_MS) {
    return 0;
  }
  return Math.ceil(PEAK_HOSTS * Math.min(1, (sinceMs + STEP_MS) / RAMP_MS));
}

/** Replays the turns of two pools, and gives what was expected of the second one in each of its steps. */
function replayTurns(arrivingJobs: number): readonly number[] {
  const rhythm = new TurnRhythm();
  const expected: number[] = [];
  for (let nowMs = 0; nowMs < 2 * TURN_MS; nowMs += STEP_MS) {
    const first = { pool: 'north', extraHosts: getAsked(nowMs), arrivingJobs: 9 };
    const second = { pool: 'south', extraHosts: getAsked(nowMs - 7_000), arrivingJobs };
    rhythm.record(first, LEAST_HOSTS, nowMs);
    expected.push(rhythm.record(second, LEAST_HOSTS, nowMs));
  }
  return expected;
}

describe('turns that resemble each other', () => {
  it('are given most of the usual peak as soon as they begin', () => {
    const expected = replayTurns(9);
    const beganAt = expected.findIndex((hosts) => hosts > 0);
    expect(expected[beganAt]).toEqual(0.75 * PEAK_HOSTS);
    // Its own load asks for as much only after three quarters of the ramp.
    const askedAt = Array.from({ length: 100 }, (_, step) => step).findIndex(
      (step) => getAsked(step * STEP_MS - 7_000) >= 0.75 * PEAK_HOSTS,
    );
    expect((askedAt - beganAt) * STEP_MS >= 1_000).toEqual(true);
  });

  it('are not begun by a single large job', () => {
    expect(replayTurns(1).every((hosts) => hosts === 0)).toEqual(true);
  });

  it('expect nothing before one was seen, nor long after they began', () => {
    const rhythm = new TurnRhythm();
    const sign = { pool: 'north', extraHosts: PEAK_HOSTS, arrivingJobs: 9 };
    expect(rhythm.record(sign, LEAST_HOSTS, 0)).toEqual(0);
    expect(rhythm.record(sign, LEAST_HOSTS, 2_500)).toEqual(0);
    rhythm.record({ ...sign, extraHosts: 0 }, LEAST_HOSTS, 5_000);
    expect(rhythm.record(sign, LEAST_HOSTS, 6_000)).toEqual(0.75 * PEAK_HOSTS);
    expect(rhythm.record(sign, LEAST_HOSTS, 8_600)).toEqual(0);
  });
});
