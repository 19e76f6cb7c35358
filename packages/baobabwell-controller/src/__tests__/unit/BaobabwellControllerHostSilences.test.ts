import { expect } from 'earl';

import { HostSilences } from '../../BaobabwellControllerHostSilences';

describe('HostSilences', () => {
  let silences: HostSilences;

  beforeEach(() => {
    silences = new HostSilences();
    silences.record('a', { answeredAtMs: 100, noticedAtMs: 200 });
  });

  it('counts the other hosts whose spans of silence overlap', () => {
    silences.record('b', { answeredAtMs: 150, noticedAtMs: 900 });
    silences.record('c', { answeredAtMs: 0, noticedAtMs: 100 });
    silences.record('d', { answeredAtMs: 201, noticedAtMs: 210 });
    expect(silences.countSimultaneous('a')).toEqual(2);
    expect(silences.countSimultaneous('d')).toEqual(1);
    expect(silences.countSimultaneous('e')).toEqual(0);
  });

  it('counts no host that answered again', () => {
    silences.record('b', { answeredAtMs: 150, noticedAtMs: 900 });
    silences.remove('b');
    expect(silences.countSimultaneous('a')).toEqual(0);
  });

  it('forgets old silences', () => {
    silences.record('b', { answeredAtMs: 0, noticedAtMs: 40_000 });
    expect(silences.countSimultaneous('b')).toEqual(0);
  });
});
