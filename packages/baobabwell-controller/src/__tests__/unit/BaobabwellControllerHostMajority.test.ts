import { expect } from 'earl';

import { HostHistory } from '../../BaobabwellControllerHostHistory';
import {
  computeFormerLeasesEndMs,
  FORMER_LEASE_MS,
  hasAnsweredSince,
  isMajority,
  isRenewalQuorum,
  MAX_FORMER_LEASE_MS,
} from '../../BaobabwellControllerHostMajority';

const MAX_HOSTS = 250;
const STARTED_AT_MS = 20_000;

describe('answers of most hosts', () => {
  it('share a host, those to a former owner that renews with those that make a majority', () => {
    for (let hostCount = 1; hostCount <= MAX_HOSTS; hostCount += 1) {
      const counts = Array.from({ length: hostCount + 1 }, (_, count) => count);
      const quorum = counts.find((count) => isRenewalQuorum(count, hostCount)) as number;
      const majority = counts.find((count) => isMajority(count, hostCount)) as number;
      expect(quorum + majority > hostCount).toEqual(true);
    }
  });

  it('are no quorum when more than a third of the hosts are silent, and one when a third is', () => {
    expect([isRenewalQuorum(4, 6), isRenewalQuorum(3, 6)]).toEqual([true, false]);
    expect([isMajority(4, 6), isMajority(3, 6), isMajority(0, 0)]).toEqual([true, false, false]);
  });

  it('end the wait for former leases at the short bound when they came early', () => {
    const earlyMs = computeFormerLeasesEndMs(STARTED_AT_MS, STARTED_AT_MS + 900, 0);
    expect(earlyMs).toEqual(STARTED_AT_MS + FORMER_LEASE_MS);
  });

  it('end the wait later when they came late, but never after the bound without answers', () => {
    const latestMs = computeFormerLeasesEndMs(STARTED_AT_MS, null, 0);
    const lateMs = computeFormerLeasesEndMs(STARTED_AT_MS, STARTED_AT_MS + 3_000, 0);
    const tooLateMs = computeFormerLeasesEndMs(STARTED_AT_MS, STARTED_AT_MS + 10_000, 0);
    expect(latestMs).toEqual(STARTED_AT_MS + MAX_FORMER_LEASE_MS);
    expect(lateMs > STARTED_AT_MS + FORMER_LEASE_MS && lateMs < latestMs).toEqual(true);
    expect(tooLateMs).toEqual(latestMs);
  });

  it('end the wait for former leases later when these may be longer than usual', () => {
    [null, STARTED_AT_MS + 900, STARTED_AT_MS + 3_000].forEach((majorityAtMs) => {
      const usualMs = computeFormerLeasesEndMs(STARTED_AT_MS, majorityAtMs, 0);
      const extendedMs = computeFormerLeasesEndMs(STARTED_AT_MS, majorityAtMs, 1_000);
      expect(extendedMs >= usualMs + 1_000).toEqual(true);
    });
  });

  it('count neither when they are old nor from an incarnation that began since the last renewal', () => {
    const host = { answeredHoldSentAtMs: 1_000, history: new HostHistory() };
    expect(hasAnsweredSince(host, 999, 500)).toEqual(true);
    expect(hasAnsweredSince(host, 1_000, 500)).toEqual(false);
    host.history.recordRestart(499);
    expect(hasAnsweredSince(host, 999, 500)).toEqual(true);
    host.history.recordRestart(500);
    expect(hasAnsweredSince(host, 999, 500)).toEqual(false);
  });
});
