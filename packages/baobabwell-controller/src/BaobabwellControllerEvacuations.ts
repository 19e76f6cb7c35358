/** A row with which the operator requests or withdraws an evacuation. */
export type EvacuationRow = {
  readonly zone: string;
  /** False for a removed row. */
  readonly isRequested: boolean;
  /** Version of the store that the row was written with. */
  readonly version: number;
};

/** Effect of a row on the evacuation of its data centre. */
export enum EvacuationChange {
  Requested = 'requested',
  Withdrawn = 'withdrawn',
  /** The row repeats what is known, or is older than what is known. */
  None = 'none',
}

/** An evacuation that is in force. */
export type Evacuation = {
  readonly zone: string;
  /** Monotonic time at which this owner learned of the request, in ms. */
  readonly seenAtMs: number;
};

/** Tracks the data centres that the operator has evacuated. */
export class Evacuations {
  readonly #evacuations = new Map<string, Evacuation>();

  /** Version of the latest row of each zone that was ever evacuated. */
  readonly #versions = new Map<string, number>();

  /** Applies a row; rows may arrive repeatedly and in any order. */
  apply({ zone, isRequested, version }: EvacuationRow, nowMs: number): EvacuationChange {
    if (version < (this.#versions.get(zone) ?? 0)) {
      return EvacuationChange.None;
    }
    this.#versions.set(zone, version);
    if (isRequested === this.#evacuations.has(zone)) {
      return EvacuationChange.None;
    }
    if (isRequested) {
      this.#evacuations.set(zone, { zone, seenAtMs: nowMs });
      return EvacuationChange.Requested;
    }
    this.#evacuations.delete(zone);
    return EvacuationChange.Withdrawn;
  }

  /** Returns true while no task may start in a zone. */
  isEvacuated(zone: string): boolean {
    return this.#evacuations.has(zone);
  }

  list(): readonly Evacuation[] {
    return [...this.#evacuations.values()];
  }
}
