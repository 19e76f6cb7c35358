/** Stand-in of the platform's interface to machines; its fences are not enforced. */
import { openServer } from './http.mjs';

const UPKEEP_MS = 2_000;

export class Cloud {
  /** Called with each order as it arrives. */
  onOrder = () => {};

  #site;

  #machines = new Map();

  #done = new Set();

  #server = null;

  constructor(site) {
    this.#site = site;
  }

  async open(host) {
    this.#server = await openServer(host, 0, async (call) => this.#answer(call));
    return `${host}:${this.#server.port}`;
  }

  close() {
    this.#server?.close();
  }

  /** Adds a machine with its worker. */
  add(machine, worker) {
    this.#machines.set(machine, { machine, worker, state: 'up' });
  }

  findMachine(workerId) {
    return [...this.#machines.values()].find(({ worker }) => worker.id === workerId)?.machine;
  }

  #answer({ method, path, headers, body }) {
    if (method === 'GET' && path === '/baobabwell/machines') {
      return { status: 200, body: { machines: this.#list(), 'next-token': null } };
    }
    if (path !== '/baobabwell/machine-upkeep' && path !== '/baobabwell/machine-move') {
      return { status: 404, body: {} };
    }
    const holder = headers['baobabwell-lease-holder'];
    const token = Number(headers['baobabwell-fencing-token']);
    this.onOrder({ order: path.split('/').at(-1), machine: body.machine, holder, token });
    return this.#execute(path, body);
  }

  #execute(path, { machine, wave }) {
    const known = this.#machines.get(machine);
    const task = this.#site.store.read('op', '', `wave/${wave}`);
    if (known === undefined || path === '/baobabwell/machine-move') {
      return { status: 400, body: {} };
    }
    if (task?.machines.includes(machine) !== true) {
      return { status: 409, body: { reason: 'wave' } };
    }
    if (this.#done.has(`${wave} ${machine}`)) {
      return { status: 200, body: {} };
    }
    if (known.state !== 'up') {
      return { status: 409, body: { reason: 'busy' } };
    }
    this.#done.add(`${wave} ${machine}`);
    known.state = 'upkeep';
    void this.#site.replaceWorker(known.worker, UPKEEP_MS).then((worker) => {
      known.worker = worker;
      known.state = 'up';
    });
    return { status: 200, body: {} };
  }

  #list() {
    return [...this.#machines.values()].map(({ machine, worker, state }) => ({
      machine,
      pool: 'service-a',
      state,
      zone: 'zone-a',
      labels: ['a', worker.rack],
      capacity: { cpu: 16_000, 'mem-mb': 65_536, gpu: 0 },
      id: state === 'up' ? worker.id : '',
    }));
  }
}
