import type { Clock } from '@baobabwell/utils';
import type { Dispatcher } from 'undici';

import { Agent, request } from 'undici';
import { z } from 'zod';

import { Outcome } from '@baobabwell/model';
import { Random } from '@baobabwell/utils';

import { LoadBalancer } from './BaobabwellLoadBalancer';

const MS_PER_SECOND = 1_000;
const CALL_TIMEOUT_MS = 30_000;

/** Load to generate. */
export type LoadPlan = {
  readonly clock: Clock;
  /** `host:port` of the entries; calls are distributed over the ready ones. */
  readonly addresses: readonly string[];
  readonly queue: string;
  readonly secret: string | null;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Run time that each call requests from its worker. */
  readonly runMs: number;
  readonly isRepeatable: boolean;
  readonly seed: number;
};

/** Numbers of calls, in total and by outcome. */
export type LoadCounts = {
  readonly calls: number;
  readonly completed: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Calls that ended without an answer. */
  readonly lost: number;
  /** Calls that received the answer of another call. */
  readonly wrongAnswer: number;
};

type CallEnd = Exclude<keyof LoadCounts, 'calls'>;

const COUNT_BY_OUTCOME: Readonly<Record<Outcome, CallEnd>> = {
  [Outcome.Completed]: 'completed',
  [Outcome.NotRun]: 'notRun',
  [Outcome.Unknown]: 'unknown',
};

const answerSchema = z.object({ echo: z.string() });

function isOwnAnswer(answer: string, body: string): boolean {
  const parsed = answerSchema.safeParse(JSON.parse(answer));
  return parsed.success && parsed.data.echo === body;
}

function isRefused(error: unknown): boolean {
  return (error as { code?: unknown }).code === 'ECONNREFUSED';
}

async function sendCall(
  plan: LoadPlan,
  agent: Dispatcher,
  address: string,
  body: string,
): Promise<CallEnd> {
  const reply = await request(`http://${address}/v1/queues/${plan.queue}/calls`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      'content-type': 'application/json',
      'call-repeatable': plan.isRepeatable ? 'yes' : 'no',
      ...(plan.secret === null ? {} : { authorization: `Bearer ${plan.secret}` }),
    },
    body,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const outcome = reply.headers['call-outcome'] as Outcome;
  const answer = await reply.body.text();
  if (outcome === Outcome.Completed && !isOwnAnswer(answer, body)) {
    return 'wrongAnswer';
  }
  return COUNT_BY_OUTCOME[outcome] ?? 'lost';
}

/** Sends a call through the balancer; tries another entry when the connection is refused. */
async function sendBalanced(
  plan: LoadPlan,
  agent: Dispatcher,
  balancer: LoadBalancer,
  body: string,
): Promise<CallEnd> {
  let attemptsLeft = plan.addresses.length;
  while (attemptsLeft > 0) {
    attemptsLeft -= 1;
    const address = balancer.getAddress();
    try {
      return await sendCall(plan, agent, address, body);
    } catch (error) {
      if (!isRefused(error)) {
        return 'lost';
      }
      balancer.remove(address);
    }
  }
  return 'lost';
}

/**
 * Sends calls at a constant mean rate with exponential intervals, waits for all of them and counts
 * their outcomes.
 */
export async function runLoad(plan: LoadPlan): Promise<LoadCounts> {
  const { addresses, clock } = plan;
  const random = new Random(plan.seed);
  const agent = new Agent();
  const balancer = new LoadBalancer({ addresses, clock, random: new Random(plan.seed + 1), agent });
  const checks = balancer.run();
  const counts = { calls: 0, completed: 0, notRun: 0, unknown: 0, lost: 0, wrongAnswer: 0 };
  const pending = new Set<Promise<void>>();
  const endsAt = clock.getNow() + plan.durationMs;
  let nextAt = clock.getNow();
  while (nextAt < endsAt) {
    await clock.wait(nextAt - clock.getNow());
    nextAt += random.getExponential(MS_PER_SECOND / plan.ratePerSecond);
    counts.calls += 1;
    const body = JSON.stringify({ runMs: plan.runMs, number: counts.calls, seed: plan.seed });
    const call = sendBalanced(plan, agent, balancer, body).then((end) => {
      counts[end] += 1;
      pending.delete(call);
    });
    pending.add(call);
  }
  await Promise.all(pending);
  balancer.stop();
  await checks;
  await agent.close();
  return counts;
}
