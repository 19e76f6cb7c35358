/** Tracks the data centres that the operator has evacuated. */
export class Evacuations {
  /** Zones in which no task may start. */
  readonly #zones = new Set<string>();

  isEvacuated(zone: string): boolean {
    return this.#zones.has(zone);
  }
}
