import { expect } from 'earl';

import { formatEvent, parseEvent } from '../../index';

const AT = new Date('2026-03-01T10:00:00.250Z');

describe('parseEvent', () => {
  it('returns the fields of a line, with quoted values and a prefix of a log collector', () => {
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

  it('parses a truncated line and returns null for other text', () => {
    const truncated = 'at=2026-03-01T10:00:00.250Z level=info event=job-seen job="ab c';
    expect(parseEvent(truncated)?.fields.get('job')).toEqual('ab');
    expect(parseEvent('listening on port 80')).toEqual(null);
    expect(parseEvent('at=yesterday event=job-seen')).toEqual(null);
  });
});
