import type { GrantedKey, ViewFleet } from './BaobabwellMeasuresViewFleet';

const STEP_MS = 1;
const CALL_INTERVAL_MS = 50;
const OBSERVATION_MS = 5_000;
const MAX_LEAD_MS = 1_500;
const RECOVERY_MS = 12_000;
const PARTITION_PROBABILITY = 0.3;
const MAX_PAUSE_MS = 2_000;

type Withdrawal = {
  readonly key: GrantedKey;
  /** Time at which the withdrawal was confirmed to the operator; `null` until then. */
  acceptedAt: number | null;
};

function startWithdrawal(view: ViewFleet, entry: string, key: GrantedKey): Withdrawal {
  const withdrawal: Withdrawal = { key, acceptedAt: null };
  const text = `withdraw key ${key.id} reason "measure"`;
  void view.fleet.runStatement(entry, text).then((reply) => {
    if (reply?.kind === 'changed' && reply.progress.stage !== 'pending') {
      withdrawal.acceptedAt = view.fleet.time.getNow();
    }
  });
  return withdrawal;
}

/** Sends calls with a key; returns the last time when an entry accepts it or a task starts. */
async function measureUse(
  view: ViewFleet,
  { key }: Withdrawal,
  startedAt: number,
): Promise<number> {
  const { fleet, names } = view;
  const taskCount = fleet.listLedger().length;
  let lastUse = startedAt;
  for (let step = 0; step < OBSERVATION_MS / STEP_MS; step += 1) {
    if (names.some((entry) => view.isUsable(entry, key))) {
      lastUse = fleet.time.getNow();
    }
    if (step % CALL_INTERVAL_MS === 0) {
      names
        .filter((entry) => !fleet.isPaused(entry))
        .forEach((entry) => {
          void fleet.call(entry, { queue: 'ovens', secret: key.secret });
        });
    }
    await fleet.advance(STEP_MS);
  }
  const started = fleet
    .listLedger()
    .slice(taskCount)
    .filter(({ event }) => (event as string) === 'started')
    .map(({ at }) => at);
  return Math.max(lastUse, ...started);
}

function applyRandomFaults(view: ViewFleet, operatorEntry: string): readonly string[] {
  const { fleet, names, random } = view;
  const others = names.filter((name) => name !== operatorEntry);
  others.forEach((from) => {
    if (random.getFraction() < PARTITION_PROBABILITY) {
      fleet.network.partitionBetween([from], ['platform']);
    }
    names
      .filter((to) => to !== from && random.getFraction() < PARTITION_PROBABILITY)
      .forEach((to) => fleet.network.partition(from, to));
  });
  return others.filter(() => random.getFraction() < PARTITION_PROBABILITY / 2);
}

/** Measures how long a key still works after the command to withdraw it, without faults. */
export async function measureWithdrawal(view: ViewFleet): Promise<number> {
  const entry = view.random.getOneOf(view.names);
  const key = await view.grantKey(entry);
  await view.fleet.advance(view.random.getInteger(MAX_LEAD_MS));
  const startedAt = view.fleet.time.getNow();
  const withdrawal = startWithdrawal(view, entry, key);
  return (await measureUse(view, withdrawal, startedAt)) - startedAt;
}

/**
 * Measures how long a key still works after its withdrawal was accepted, under random pauses and
 * partitions from the store and between entries. Returns `null` if it was not accepted.
 */
export async function measureWithdrawalUnderPartitions(view: ViewFleet): Promise<number | null> {
  const { fleet, random, names } = view;
  const entry = random.getOneOf(names);
  const key = await view.grantKey(entry);
  const paused = applyRandomFaults(view, entry);
  await fleet.advance(random.getInteger(MAX_LEAD_MS));
  paused.forEach((name) => fleet.pauseEntry(name));
  const withdrawal = startWithdrawal(view, entry, key);
  fleet.time.startTimer(random.getInteger(MAX_PAUSE_MS), () =>
    paused.forEach((name) => fleet.resumeEntry(name)),
  );
  const lastUse = await measureUse(view, withdrawal, fleet.time.getNow());
  view.restoreNetwork();
  await fleet.advance(RECOVERY_MS);
  return withdrawal.acceptedAt === null ? null : Math.max(0, lastUse - withdrawal.acceptedAt);
}
