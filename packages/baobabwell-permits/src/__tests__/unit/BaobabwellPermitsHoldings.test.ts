import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';

import { PermitHoldings } from '../../BaobabwellPermitsHoldings';

const TEAM = 'guilds';

describe('PermitHoldings', () => {
  let holdings: PermitHoldings;

  function lend(held: number, allowed: number): void {
    holdings.applyLoan({ team: TEAM, held, allowed, reserve: 0, isContended: false }, 1);
  }

  beforeEach(() => {
    holdings = new PermitHoldings(new EmulatedTime());
    lend(5, 5);
    [1, 2, 3, 4, 5].forEach(() => holdings.acquire(TEAM));
  });

  it('does not reuse permits after the limit fell below the number in use', () => {
    lend(5, 2);
    expect([holdings.getAvailable(TEAM), holdings.acquire(TEAM)]).toEqual([0, false]);
    holdings.release(TEAM);
    holdings.release(TEAM);
    expect([holdings.getHeld(TEAM), holdings.getAvailable(TEAM)]).toEqual([3, 0]);
    expect(holdings.acquire(TEAM)).toEqual(false);
  });

  it('grants permits up to the lower limit once work has ended', () => {
    lend(5, 2);
    [1, 2, 3, 4].forEach(() => holdings.release(TEAM));
    expect([holdings.getHeld(TEAM), holdings.getAvailable(TEAM)]).toEqual([2, 1]);
    expect([holdings.acquire(TEAM), holdings.acquire(TEAM)]).toEqual([true, false]);
  });

  it('grants no permits after they were withdrawn', () => {
    holdings.withdraw(TEAM, 2);
    holdings.release(TEAM);
    expect([holdings.getAvailable(TEAM), holdings.acquire(TEAM)]).toEqual([0, false]);
  });
});
