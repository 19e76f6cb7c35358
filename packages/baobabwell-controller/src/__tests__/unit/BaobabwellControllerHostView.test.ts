import { expect } from 'earl';

import { isHostViewTooOld } from '../../BaobabwellControllerHostView';

const MAX_AGE_MS = 1_800;

describe("an owner's view of hosts", () => {
  [
    { ageMs: MAX_AGE_MS, canRenew: true, checksRoom: true, isTooOld: false },
    { ageMs: MAX_AGE_MS + 1, canRenew: true, checksRoom: true, isTooOld: true },
    { ageMs: MAX_AGE_MS + 1, canRenew: false, checksRoom: true, isTooOld: false },
    { ageMs: MAX_AGE_MS + 1, canRenew: false, checksRoom: false, isTooOld: true },
    { ageMs: Infinity, canRenew: true, checksRoom: true, isTooOld: true },
  ].forEach(({ ageMs, canRenew, checksRoom, isTooOld }) => {
    const lease = canRenew ? 'that renews its lease' : 'in its grace period';
    const hosts = checksRoom ? 'check their capacity' : 'do not check their capacity';
    it(`of ${ageMs} ms, ${lease}, is ${isTooOld ? 'too old' : 'used'} where hosts ${hosts}`, () => {
      expect(isHostViewTooOld({ ageMs, maxAgeMs: MAX_AGE_MS, canRenew }, checksRoom)).toEqual(
        isTooOld,
      );
    });
  });
});
