import { expect } from 'earl';

import { formatEvent, parseEvent } from '../../index';

const AT = new Date('2026-03-01T10:00:00.250Z');

describe('log lines read back', () => {
  it('gives what was written, with quoted values and a prefix of a collector', () => {
    const line = formatEvent(AT, 'warn', 'store-watch-failed', {
      table: 'jobs',
      cause: 'status 429, "busy" = yes',
      after: 7,
      part: '',
    });
    const parsed = parseEvent(`   4.2500 oven-1 ${line}`);
    expect(parsed?.atMs).toEqual(AT.getTime());
    expect(parsed?.event).toEqual('store-watch-failed');
    expect([...(parsed?.fields ?? [])].slice(3)).toEqual([
      ['table', 'jobs'],
      ['cause', 'status 429, "busy" = yes'],
      ['after', '7'],
      ['part', ''],
    ]);
  });

  it('reads a line that was cut short, and nothing from other text', () => {
    const cut = 'at=2026-03-01T10:00:00.250Z level=info event=job-seen job="ab c';
    expect(parseEvent(cut)?.fields.get('job')).toEqual('ab');
    expect(parseEvent('listening on port 80')).toEqual(null);
    expect(parseEvent('at=yesterday event=job-seen')).toEqual(null);
  });
});
