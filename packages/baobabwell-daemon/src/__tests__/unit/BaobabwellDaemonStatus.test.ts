import type { StatusSource } from '../../BaobabwellDaemonStatus';
import type { EvacuationReport } from '@baobabwell/controller';
import type { FastifyInstance } from 'fastify';

import { expect } from 'earl';
import Fastify from 'fastify';

import { EmulatedJobFleet } from '@baobabwell/job-emulator';

import { registerStatusRoutes } from '../../BaobabwellDaemonStatus';

const SEED = 5;
const START_MS = 1_500;
const OWNER = {
  name: 'a',
  life: '1',
  address: '10.0.0.1:7000',
  epoch: 3,
  isReleased: false,
  unloadedTerms: 0,
};

describe('status routes', () => {
  let fleet: EmulatedJobFleet;
  let server: FastifyInstance;

  beforeEach(async () => {
    fleet = new EmulatedJobFleet(SEED, 2);
    fleet.startDaemon('a');
    await fleet.time.advance(START_MS);
  });

  afterEach(async () => {
    fleet.close();
    await server.close();
  });

  function openServer(source: StatusSource): void {
    server = Fastify();
    registerStatusRoutes(server, source);
  }

  async function request(path: string): Promise<{ status: number; body: unknown }> {
    const reply = await server.inject(path);
    return { status: reply.statusCode, body: reply.json() };
  }

  it('return the owner, the pools, the open jobs and single jobs with their runs', async function () {
    openServer({ getOwner: () => OWNER, getContext: () => fleet.findOwnerContext() });
    const ended = fleet.submit([{ taskCount: 1, estimateMs: 100 }]);
    await fleet.time.advance(600);
    const open = fleet.submit([{ taskCount: 2, estimateMs: 3_000 }, { after: [0] }]);
    await fleet.time.advance(500);
    const answers = await Promise.all(
      ['/owner', '/pools', '/jobs', `/jobs/${open}`, `/jobs/${ended}`].map(request),
    );
    expect(answers).toMatchSnapshot(this);
  });

  it('return the evacuations and what is left in their data centres', async () => {
    openServer({ getOwner: () => OWNER, getContext: () => fleet.findOwnerContext() });
    expect((await request('/evacuations')).body).toEqual({ evacuations: [] });
    fleet.submit([
      { taskCount: 1, isLasting: true },
      { taskCount: 1, estimateMs: 60_000 },
    ]);
    await fleet.time.advance(500);
    fleet.evacuate('north');
    await fleet.time.advance(200);
    const { evacuations } = (await request('/evacuations')).body as {
      evacuations: EvacuationReport[];
    };
    expect(evacuations.map(({ ageMs: _, ...left }) => left)).toEqual([
      { zone: 'north', hosts: 2, runs: 2, longRuns: 1 },
    ]);
  });

  it('name the owner when this process is not the owner, and report unknown jobs', async () => {
    openServer({ getOwner: () => OWNER, getContext: () => null });
    const owner = { name: 'a', address: '10.0.0.1:7000', epoch: 3 };
    expect(await request('/jobs')).toEqual({
      status: 409,
      body: { error: 'not-the-owner', owner },
    });
    await server.close();
    openServer({ getOwner: () => null, getContext: () => fleet.findOwnerContext() });
    expect(await request('/jobs/none')).toEqual({ status: 404, body: { error: 'unknown-job' } });
    expect(await request('/owner')).toEqual({ status: 200, body: { owner: null } });
  });
});
