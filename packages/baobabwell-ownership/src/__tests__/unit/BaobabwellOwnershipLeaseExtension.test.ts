import { expect } from 'earl';

import { LeaseExtension } from '../../BaobabwellOwnershipLeaseExtension';

const MAX_MS = 3_000;
const NONE = { extensionMs: 0, sentAtMs: 0 };

describe('extensions of leases on hosts', () => {
  it('are none while the store answers in time, whatever one answer took', () => {
    const extension = new LeaseExtension(MAX_MS, NONE, 4);
    [4, 900, 4, 700, 4].forEach((answerMs, index) => {
      const named = extension.nameExtension(index * 1_000);
      extension.confirm(named, index + 1, answerMs);
      expect([named.extensionMs, extension.getExtensionMs(index * 1_000)]).toEqual([0, 0]);
    });
  });

  it('are used once a renewal that names them is confirmed', () => {
    const extension = new LeaseExtension(MAX_MS, NONE, 270);
    const named = extension.nameExtension(1_000);
    expect([named.extensionMs, extension.getExtensionMs(1_000)]).toEqual([1_700, 0]);
    extension.confirm(named, 1, 270);
    expect(extension.getExtensionMs(1_300)).toEqual(1_700);
  });

  it('are not used while the store may carry out a renewal that names less', () => {
    const extension = new LeaseExtension(MAX_MS, NONE, 4);
    const unknown = extension.nameExtension(500);
    [1_000, 2_000, 3_000].forEach((sentAtMs) =>
      extension.confirm(extension.nameExtension(sentAtMs), sentAtMs, 270),
    );
    expect(extension.getExtensionMs(3_300)).toEqual(0);
    extension.refute(unknown);
    expect(extension.getExtensionMs(3_300)).toEqual(1_700);
  });

  it('are not used while the renewal that was stored last names less, whenever it was sent', () => {
    const extension = new LeaseExtension(MAX_MS, NONE, 4);
    const early = extension.nameExtension(500);
    [11, 12].forEach((version) =>
      extension.confirm(extension.nameExtension(1_000 * version), version, 270),
    );
    const late = extension.nameExtension(13_000);
    extension.confirm(late, 13, 270);
    extension.confirm(early, 14, 270);
    expect([late.extensionMs, extension.getExtensionMs(13_300)]).toEqual([1_700, 0]);
  });

  it('are named for as long as leases of former owners may have them', () => {
    const extension = new LeaseExtension(MAX_MS, { extensionMs: 1_700, sentAtMs: 0 }, 4);
    expect(extension.getExtensionMs(100)).toEqual(0);
    expect(extension.nameExtension(15_000).extensionMs).toEqual(1_700);
    expect(extension.nameExtension(21_000).extensionMs).toEqual(0);
  });

  it('are named on after the store is no longer slow', () => {
    const extension = new LeaseExtension(MAX_MS, NONE, 270);
    [1_000, 2_000, 3_000].forEach((sentAtMs) =>
      extension.confirm(extension.nameExtension(sentAtMs), sentAtMs, 4),
    );
    expect(extension.getExtensionMs(3_100)).toEqual(0);
    expect(extension.nameExtension(10_000).extensionMs).toEqual(1_700);
  });

  it('are at most the longest that hosts allow', () => {
    const extension = new LeaseExtension(MAX_MS, NONE, 900);
    expect(extension.nameExtension(1_000).extensionMs).toEqual(MAX_MS);
  });
});
