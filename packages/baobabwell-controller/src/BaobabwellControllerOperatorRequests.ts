import type { TermContext } from './BaobabwellControllerContext';
import type { EvacuationRow } from './BaobabwellControllerEvacuations';
import type { Host } from './BaobabwellControllerHost';
import type { Row } from '@baobabwell/platform';

import { EvacuationChange } from './BaobabwellControllerEvacuations';

type RequestContext = Pick<
  TermContext,
  'clock' | 'codec' | 'evacuations' | 'hosts' | 'logger' | 'requestDispatch' | 'waves'
>;

/** Applies the operator's requests: maintenance waves and evacuations. */
export class OperatorRequests {
  readonly #context: RequestContext;

  readonly #requestRound: () => void;

  /** @param requestRound requests a round of the fleet control loop. */
  constructor(context: RequestContext, requestRound: () => void) {
    this.#context = context;
    this.#requestRound = requestRound;
  }

  /** Applies a row of the operator's table. */
  apply({ key, value, version }: Row): void {
    const zone = this.#context.codec.decodeEvacuatedZone(key);
    if (zone !== null) {
      this.#applyEvacuation({ zone, isRequested: value !== null, version });
      return;
    }
    const { codec, waves, logger } = this.#context;
    const wave = value === null ? null : codec.decodeWave(key, value);
    if (wave !== null && !waves.has(wave.number)) {
      waves.set(wave.number, wave);
      const { number, machines, durationMs, maxDown } = wave;
      logger.recordInfo('wave-seen', {
        wave: number,
        machines: machines.length,
        durationMs,
        maxDown,
      });
      this.#requestRound();
    }
  }

  /** Withdraws the evacuations whose rows were removed while the history of their table was missing. */
  withdrawMissing(rows: readonly Row[], version: number): void {
    const { codec, evacuations } = this.#context;
    const requested = new Set(rows.map(({ key }) => codec.decodeEvacuatedZone(key)));
    evacuations
      .list()
      .filter(({ zone }) => !requested.has(zone))
      .forEach(({ zone }) => this.#applyEvacuation({ zone, isRequested: false, version }));
  }

  /** Marks a host whose data centre is evacuated. */
  updateHost(changed: Host): void {
    const host = changed;
    const zone = host.listedWorker?.zone;
    host.isEvacuated = zone !== undefined && this.#context.evacuations.isEvacuated(zone);
  }

  #applyEvacuation(row: EvacuationRow): void {
    const { evacuations, hosts, clock, logger, requestDispatch } = this.#context;
    const change = evacuations.apply(row, clock.getNow());
    if (change === EvacuationChange.None) {
      return;
    }
    const { zone, version } = row;
    let hostCount = 0;
    let runCount = 0;
    hosts.forEach((host) => {
      this.updateHost(host);
      const isConcerned = host.listedWorker?.zone === zone;
      hostCount += isConcerned ? 1 : 0;
      runCount += isConcerned ? host.runs.size : 0;
    });
    const fields = { zone, version, hosts: hostCount, runs: runCount };
    if (change === EvacuationChange.Requested) {
      logger.recordInfo('evacuation-seen', fields);
    } else {
      logger.recordInfo('evacuation-withdrawn', fields);
    }
    this.#requestRound();
    requestDispatch();
  }
}
