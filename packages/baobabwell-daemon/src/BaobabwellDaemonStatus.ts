import type { TermContext } from '@baobabwell/controller';
import type { Job, RunPhase } from '@baobabwell/jobs';
import type { Owner } from '@baobabwell/ownership';
import type { FastifyInstance } from 'fastify';

import { listEvacuationReports } from '@baobabwell/controller';
import { countTasks, JobState } from '@baobabwell/jobs';

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

/** Maximum number of jobs in one reply; the oldest come first. */
const MAX_LISTED_JOBS = 500;

/** A job as shown to operators. */
export type JobStatus = {
  readonly id: string;
  readonly queue: string;
  readonly organisation: string | null;
  readonly state: JobState;
  /** Time since the job was accepted, in ms. */
  readonly ageMs: number;
  readonly taskCount: number;
  readonly doneCount: number;
  readonly waitingCount: number;
  readonly runCount: number;
};

/** A run as shown to operators. */
export type RunStatus = {
  readonly task: string;
  readonly run: number;
  readonly host: string;
  readonly phase: RunPhase;
  /** Time since the start of the run was ordered, in ms. */
  readonly ageMs: number;
  readonly progressPercent: number;
};

/** A pool as shown to operators; CPU in thousandths of a core. */
export type PoolStatus = {
  readonly pool: string;
  readonly hosts: number;
  /** Number of hosts that accept new work. */
  readonly usableHosts: number;
  readonly runs: number;
  readonly capacityCpuMillis: number;
  readonly freeCpuMillis: number;
};

/** Reason why a status request failed. */
export enum StatusError {
  /** Only the owner can answer; the reply names it. */
  NotTheOwner = 'not-the-owner',
  UnknownJob = 'unknown-job',
}

/** Data that the status routes read. */
export type StatusSource = {
  readonly getOwner: () => Owner | null;
  /** Returns the context of this process's term; `null` while it is not the owner. */
  readonly getContext: () => TermContext | null;
};

function buildJobStatus({ jobRegistry, clock }: TermContext, job: Job): JobStatus {
  const { id, queue, organisation, acceptedAtMs, spec } = job.record;
  const steps = job.listSteps();
  const tasksPerOccurrence = countTasks(spec);
  return {
    id,
    queue,
    organisation,
    state: job.getVisibleState(),
    ageMs: Math.round(clock.getWallTime() - acceptedAtMs),
    taskCount: tasksPerOccurrence * job.countOccurrences(),
    doneCount:
      job.state === JobState.Completed
        ? tasksPerOccurrence * job.countOccurrences()
        : steps.reduce((sum, step) => sum + step.doneCount, 0),
    waitingCount: steps.reduce((sum, step) => sum + step.waitingCount, 0),
    runCount: jobRegistry.listRuns(job).length,
  };
}

function listRunStatuses({ jobRegistry, clock }: TermContext, job: Job): readonly RunStatus[] {
  const nowMs = clock.getNow();
  return jobRegistry
    .listRuns(job)
    .map(({ task, number, hostId, phase, startSentAtMs, progressPercent }) => ({
      task: task.name,
      run: number,
      host: hostId,
      phase,
      ageMs: Math.round(nowMs - startSentAtMs),
      progressPercent,
    }));
}

function listPoolStatuses({ hosts, clock, getConfiguration }: TermContext): readonly PoolStatus[] {
  const nowMs = clock.getNow();
  return (getConfiguration()?.pools ?? []).map(({ name }) => {
    const poolHosts = [...hosts.values()].filter(({ pool }) => pool === name);
    const usable = poolHosts.filter((host) => host.canTakeWork(nowMs));
    return {
      pool: name,
      hosts: poolHosts.length,
      usableHosts: usable.length,
      runs: poolHosts.reduce((sum, { runs }) => sum + runs.size, 0),
      capacityCpuMillis: poolHosts.reduce((sum, host) => sum + host.getCapacity().cpuMillis, 0),
      freeCpuMillis: usable.reduce((sum, host) => sum + host.getFreeResources().cpuMillis, 0),
    };
  });
}

/** Registers the routes that show operators the owner, pools, evacuations, jobs and runs. */
export function registerStatusRoutes(server: FastifyInstance, source: StatusSource): void {
  const describeOwner = () => {
    const owner = source.getOwner();
    return owner && { name: owner.name, address: owner.address, epoch: owner.epoch };
  };
  const addOwnerRoute = (
    path: string,
    buildBody: (context: TermContext, id: string) => unknown,
  ): void => {
    server.get<{ Params: { id?: string } }>(path, async (request, reply) => {
      const context = source.getContext();
      if (context === null) {
        const error = StatusError.NotTheOwner;
        return reply.code(HTTP_CONFLICT).send({ error, owner: describeOwner() });
      }
      const body = buildBody(context, request.params.id ?? '');
      return body === null
        ? reply.code(HTTP_NOT_FOUND).send({ error: StatusError.UnknownJob })
        : reply.send(body);
    });
  };
  server.get('/owner', async () => ({ owner: describeOwner() }));
  addOwnerRoute('/pools', (context) => ({ pools: listPoolStatuses(context) }));
  addOwnerRoute('/evacuations', (context) => ({ evacuations: listEvacuationReports(context) }));
  addOwnerRoute('/jobs', (context) => {
    const openJobs = context.jobRegistry.listOpenJobs();
    const jobs = openJobs.slice(0, MAX_LISTED_JOBS).map((job) => buildJobStatus(context, job));
    return { jobs, openCount: openJobs.length };
  });
  addOwnerRoute('/jobs/:id', (context, id) => {
    const job = context.jobRegistry.findJob(id);
    return job && { job: buildJobStatus(context, job), runs: listRunStatuses(context, job) };
  });
}
