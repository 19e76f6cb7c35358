import { expect } from 'earl';

import { isReservedEvent } from '../../BaobabwellDaemonLogReserve';

describe('events with a reserve', () => {
  it('are those that explain a repeated start, not those of each run', () => {
    const events = ['run-lost', 'run-vanished', 'ownership-lost', 'start-ordered', 'run-ended'];
    expect(events.filter(isReservedEvent)).toEqual(['run-lost', 'run-vanished', 'ownership-lost']);
  });
});
