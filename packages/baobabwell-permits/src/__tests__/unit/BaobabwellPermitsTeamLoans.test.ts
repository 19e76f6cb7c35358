import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';

import { FenceClock } from '../../BaobabwellPermitsFence';
import { TeamLoans } from '../../BaobabwellPermitsTeamLoans';

const TEAM = 'guilds';
const LIMIT = 10;

class FakeFenceClock extends FenceClock {
  readonly pending = new Set<string>();

  override recordDeparture(member: string): void {
    this.pending.delete(member);
  }

  override listPending(): readonly string[] {
    return [...this.pending];
  }
}

describe('TeamLoans', () => {
  let fences: FakeFenceClock;
  let loans: TeamLoans;

  function borrow(member: string, held: number, needed: number, limit = LIMIT): number {
    loans.recordReport(member, { team: TEAM, held, needed });
    return loans.lend(member, limit, 0).held;
  }

  beforeEach(() => {
    fences = new FakeFenceClock();
    loans = new TeamLoans(new EmulatedTime(), fences);
  });

  it('lends all permits to one entry when no other entry needs them', () => {
    loans.startLending(new Map());
    expect(borrow('a', 0, 30)).toEqual(LIMIT);
  });

  it('counts a permit as available only after its holder reported its return', () => {
    loans.startLending(new Map());
    borrow('a', 0, 30);
    expect(borrow('b', 0, 30)).toEqual(0);
    borrow('a', 5, 30);
    expect(borrow('b', 0, 30)).toEqual(5);
  });

  it('reserves the permits of a removed member until its fence has expired', () => {
    loans.startLending(new Map());
    borrow('a', 0, 4);
    fences.pending.add('a');
    loans.applyMembers(new Set(['b']));
    const before = borrow('b', 0, 30);
    fences.pending.clear();
    expect([before < LIMIT, borrow('b', before, 30)]).toEqual([true, LIMIT]);
  });

  it('lends no further permits while a removed member that never reported may hold some', () => {
    fences.pending.add('unreported');
    loans.startLending(new Map([['b', 2]]));
    const before = borrow('b', 2, 30);
    fences.pending.clear();
    expect([before, borrow('b', 2, 30)]).toEqual([2, LIMIT]);
  });

  it('recalls permits after the limit was lowered', () => {
    loans.startLending(new Map());
    borrow('a', 0, 30);
    loans.recordReport('a', { team: TEAM, held: 10, needed: 30 });
    expect(loans.lend('a', 4, 0)).toEqual({
      held: 10,
      allowed: 4,
      reserve: 4,
      isContended: true,
    });
  });
});
