import { expect } from 'earl';

import { isReservedEvent } from '../../BaobabwellDaemonLogReserve';

describe('events with a reserve', () => {
  it('are those that explain a repeated start, not those of each run', () => {
    const events = ['run-lost', 'run-vanished', 'ownership-lost', 'start-ordered', 'run-ended'];
    expect(events.filter(isReservedEvent)).toEqual(['run-lost', 'run-vanished', 'ownership-lost']);
  });

  it('are those that explain why a process receives no calls, not those of each call', () => {
    const events = ['readiness-changed', 'readiness-probe-late', 'configuration-outdated'];
    expect([...events, 'call-answered-late'].filter(isReservedEvent)).toEqual(events);
  });
});
