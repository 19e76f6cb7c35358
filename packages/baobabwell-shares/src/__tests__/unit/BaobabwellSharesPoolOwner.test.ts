import type { TeamShare } from '../../BaobabwellShares';

import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';

import { PoolOwner } from '../../BaobabwellSharesPoolOwner';

const SHARES: Readonly<Record<string, TeamShare>> = {
  guilds: { organisation: 'crafts', organisationShare: 1, share: 3 },
  bakers: { organisation: 'crafts', organisationShare: 1, share: 1 },
  schools: { organisation: 'education', organisationShare: 1, share: 1 },
};

function createOwner(time: EmulatedTime): PoolOwner {
  return new PoolOwner({
    clock: time,
    getSlots: () => 16,
    getShare: (team) => SHARES[team] as TeamShare,
    getLimit: (team) => (team === 'bakers' ? 1 : 100),
  });
}

function createActivity(team: string, running: number, waiting: number) {
  return { team, running, waiting };
}

describe('PoolOwner', () => {
  let time: EmulatedTime;
  let owner: PoolOwner;

  beforeEach(() => {
    time = new EmulatedTime();
    owner = createOwner(time);
  });

  it('sets no targets while the pool is not contended', () => {
    expect(owner.handleActivity('entry-1', [createActivity('guilds', 5, 5)])).toEqual(null);
  });

  it('divides by organisation, then by team, and redistributes what a limit leaves unused', async function () {
    owner.handleActivity('entry-1', [createActivity('guilds', 8, 50)]);
    await time.advance(100);
    const targets = owner.handleActivity('entry-2', [
      createActivity('bakers', 1, 50),
      createActivity('schools', 7, 50),
    ]);
    expect(targets).toMatchSnapshot(this);
  });

  it('removes an entry that no longer reports', async () => {
    owner.handleActivity('entry-1', [createActivity('guilds', 8, 50)]);
    await time.advance(1_500);
    expect(owner.handleActivity('entry-2', [createActivity('schools', 4, 4)])).toEqual(null);
  });

  it('compensates a team for a shortfall below its share', async () => {
    const report = () => {
      owner.handleActivity('entry-1', [createActivity('guilds', 12, 50)]);
      return owner.handleActivity('entry-2', [createActivity('schools', 4, 50)]);
    };
    report();
    await time.advance(1_000);
    const schools = report()?.find(({ team }) => team === 'schools')?.slots ?? 0;
    expect(schools > 8).toEqual(true);
  });
});
