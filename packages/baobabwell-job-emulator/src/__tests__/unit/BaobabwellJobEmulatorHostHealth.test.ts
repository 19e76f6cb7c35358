import { expect } from 'earl';

import { JobState } from '@baobabwell/jobs';

import { EmulatedJobFleet } from '../../index';

const SEED = 23;
const START_MS = 2_000;
const BAD_HOST = 'host-0';

describe('hosts of the emulated fleet that fail their runs', () => {
  let fleet: EmulatedJobFleet;

  function countLines(event: string): number {
    return fleet.logLines.filter((line) => line.includes(`event=${event} `)).length;
  }

  function listStarts(fromLine: number): readonly string[] {
    return fleet.logLines
      .slice(fromLine)
      .filter((line) => line.includes('start-ordered') && line.includes(`host=${BAD_HOST} `));
  }

  async function submitFor(durationMs: number): Promise<readonly string[]> {
    const jobs: string[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += 100) {
      jobs.push(fleet.submit([{ taskCount: 4, estimateMs: 400 }]));
      await fleet.time.advance(100);
    }
    return jobs;
  }

  function setBad(isBad: boolean): void {
    fleet.listHosts().forEach((listed) => {
      const host = listed;
      host.shouldFailTask = () => isBad && host.id === BAD_HOST;
    });
  }

  beforeEach(async () => {
    fleet = new EmulatedJobFleet(SEED, 8);
    fleet.startDaemon('a');
    fleet.startDaemon('b');
    await fleet.time.advance(START_MS);
  });

  afterEach(() => fleet.close());

  it('are ejected within a few runs, and every job still completes', async () => {
    setBad(true);
    const jobs = await submitFor(4_000);
    await fleet.time.advance(6_000);
    const states = await Promise.all(jobs.map(async (id) => fleet.findState(id)));
    expect(states).toEqual(jobs.map(() => JobState.Completed));
    expect([countLines('host-ejected'), countLines('host-admitted')]).toEqual([1, 0]);
    expect(fleet.oracle.violations).toEqual([]);
  });

  it('are ejected by a successor as well, and admitted again once they are sound', async () => {
    setBad(true);
    await submitFor(2_000);
    fleet.killDaemon(fleet.findOwner() as string);
    await submitFor(8_000);
    expect(countLines('host-ejected')).toEqual(2);
    setBad(false);
    const from = fleet.logLines.length;
    await submitFor(14_000);
    expect([countLines('host-admitted') > 0, listStarts(from).length > 0]).toEqual([true, true]);
    expect(fleet.oracle.violations).toEqual([]);
  });
});
