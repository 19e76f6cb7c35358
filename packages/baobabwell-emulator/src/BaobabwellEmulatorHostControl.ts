import type { EmulatedNetwork, Endpoint } from './BaobabwellEmulatorNetwork';
import type { WorkerEndpoint } from './BaobabwellEmulatorWorkers';
import type { HostControlError, HostStatus } from '@baobabwell/maintenance';
import type { Host } from '@baobabwell/model';
import type { Result } from '@baobabwell/utils';

import { HostControl } from '@baobabwell/maintenance';
import { StandInHostControl } from '@baobabwell/stand-ins';
import { createError } from '@baobabwell/utils';

const TIMEOUT_MS = 800;

/** Controls the workers' machines across the emulated network. */
export class EmulatedHostControl extends HostControl {
  readonly #network: EmulatedNetwork;

  readonly #from: Endpoint;

  readonly #findWorker: (address: string) => WorkerEndpoint;

  readonly #control: HostControl;

  constructor(
    network: EmulatedNetwork,
    from: Endpoint,
    findWorker: (address: string) => WorkerEndpoint,
  ) {
    super();
    this.#network = network;
    this.#from = from;
    this.#findWorker = findWorker;
    this.#control = new StandInHostControl((address) => findWorker(address).worker);
  }

  override async probe(host: Host): Promise<Result<HostStatus, HostControlError>> {
    return this.#send(host, async () => this.#control.probe(host));
  }

  override async reboot(host: Host, token: number): Promise<Result<null, HostControlError>> {
    return this.#send(host, async () => this.#control.reboot(host, token));
  }

  override async close(): Promise<void> {
    await this.#control.close();
  }

  async #send<T>(
    { address }: Host,
    handle: () => Promise<Result<T, HostControlError>>,
  ): Promise<Result<T, HostControlError>> {
    const result = await this.#network.send({
      from: this.#from,
      to: this.#findWorker(address).endpoint,
      timeoutMs: TIMEOUT_MS,
      handle,
    });
    return result.kind === 'answered'
      ? result.value
      : createError({ kind: 'unreachable', cause: result.kind });
  }
}
