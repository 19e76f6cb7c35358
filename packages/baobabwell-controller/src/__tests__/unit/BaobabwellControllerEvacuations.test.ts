import { expect } from 'earl';
import fc from 'fast-check';

import { EvacuationChange, Evacuations } from '../../BaobabwellControllerEvacuations';
import { isEvacuationViewTooOld } from '../../BaobabwellControllerEvacuationView';

const NOW_MS = 1_000;
const MAX_AGE_MS = 4_700;

describe('evacuations', () => {
  it('are in force until their request is removed, each zone by itself', () => {
    const evacuations = new Evacuations();
    const changes = [
      { zone: 'north', isRequested: true, version: 3 },
      { zone: 'south', isRequested: true, version: 4 },
      { zone: 'north', isRequested: true, version: 5 },
      { zone: 'north', isRequested: false, version: 6 },
      { zone: 'west', isRequested: false, version: 7 },
    ].map((row) => evacuations.apply(row, NOW_MS));
    expect(changes).toEqual([
      EvacuationChange.Requested,
      EvacuationChange.Requested,
      EvacuationChange.None,
      EvacuationChange.Withdrawn,
      EvacuationChange.None,
    ]);
    expect(evacuations.list()).toEqual([{ zone: 'south', seenAtMs: NOW_MS }]);
  });

  it('follow the latest row, whatever the order in which rows arrive', () => {
    fc.assert(
      fc.property(
        fc.array(fc.boolean(), { minLength: 1 }).chain((written) => {
          const rows = written.map((isRequested, version) => ({
            zone: 'north',
            isRequested,
            version,
          }));
          return fc.tuple(fc.constant(rows), fc.shuffledSubarray(rows));
        }),
        ([rows, repeated]) => {
          const evacuations = new Evacuations();
          [...rows, ...repeated].forEach((row) => evacuations.apply(row, NOW_MS));
          expect(evacuations.isEvacuated('north')).toEqual(rows.at(-1)?.isRequested === true);
        },
      ),
    );
  });
});

describe("an owner's view of evacuations", () => {
  [
    { ageMs: MAX_AGE_MS, unansweredMs: 0, maxAgeMs: MAX_AGE_MS, isTooOld: false },
    { ageMs: MAX_AGE_MS + 1, unansweredMs: 0, maxAgeMs: MAX_AGE_MS, isTooOld: true },
    { ageMs: MAX_AGE_MS + 1, unansweredMs: 3_000, maxAgeMs: MAX_AGE_MS, isTooOld: false },
    { ageMs: MAX_AGE_MS + 3_001, unansweredMs: 3_000, maxAgeMs: MAX_AGE_MS, isTooOld: true },
    { ageMs: Infinity, unansweredMs: 0, maxAgeMs: MAX_AGE_MS, isTooOld: true },
    { ageMs: Infinity, unansweredMs: 0, maxAgeMs: null, isTooOld: false },
  ].forEach(({ isTooOld, ...view }) => {
    it(`of ${JSON.stringify(view)} is ${isTooOld ? 'too old' : 'used'}`, () => {
      expect(isEvacuationViewTooOld(view)).toEqual(isTooOld);
    });
  });
});
