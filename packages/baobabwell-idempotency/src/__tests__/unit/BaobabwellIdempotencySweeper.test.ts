import { expect } from 'earl';

import { EmulatedTime } from '@baobabwell/emulator';
import { Outcome } from '@baobabwell/model';
import { StandInObjectStore, StandInTableService } from '@baobabwell/stand-ins';
import { Random } from '@baobabwell/utils';

import { AnswerStore } from '../../BaobabwellIdempotencyAnswers';
import { CLAIM_TABLE, OUTCOME_RETENTION_MS } from '../../BaobabwellIdempotencyConstants';
import { GroupCommit } from '../../BaobabwellIdempotencyGroupCommit';
import { IdempotencyRegistry } from '../../BaobabwellIdempotencyRegistry';
import { ClaimSweeper } from '../../BaobabwellIdempotencySweeper';

const CALLS = 700;
const TRANSACTION_INTERVAL_MS = 50;

describe('ClaimSweeper', () => {
  const time = new EmulatedTime();
  const tables = new StandInTableService(time, new Random(1));
  const answers = new AnswerStore(new StandInObjectStore());
  const commits = new GroupCommit({
    clock: time,
    tables,
    getTransactionIntervalMs: () => TRANSACTION_INTERVAL_MS,
  });
  const registry = new IdempotencyRegistry({
    clock: time,
    random: new Random(2),
    tables,
    answers,
    commits,
    owner: 'entry-1.a',
    isMember: () => true,
  });
  const sweeper = new ClaimSweeper({ clock: time, tables, answers, isResponsible: () => true });

  async function runCall(index: number): Promise<void> {
    await registry.run(
      {
        key: `key-${index}`,
        team: 'guilds',
        fingerprint: 'same',
        isRepeatable: false,
        deadlineAt: time.getNow() + 10_000,
      },
      async () => ({ outcome: Outcome.Completed, reason: 'answered', answer: null }),
      new AbortController().signal,
    );
  }

  async function countRows(): Promise<number> {
    const page = await tables.readSince(CLAIM_TABLE, 0, 1_000_000);
    return page.ok ? page.value.rows.filter(({ value }) => value !== null).length : -1;
  }

  it('retains every outcome for its retention time and then removes all', async () => {
    void commits.run();
    void sweeper.run();
    for (let index = 0; index < CALLS; index += 1) {
      void runCall(index);
      await time.advance(10);
    }
    await time.advance(10_000);
    const retained = await countRows();
    await time.advance(OUTCOME_RETENTION_MS - 20_000);
    const retainedUntilExpiry = await countRows();
    const writesBefore = tables.getCounts().writes;
    await time.advance(60_000);
    expect({
      retained,
      retainedUntilExpiry,
      remaining: await countRows(),
      writes: tables.getCounts().writes - writesBefore <= 10,
    }).toEqual({ retained: CALLS, retainedUntilExpiry: CALLS, remaining: 0, writes: true });
    sweeper.stop();
    commits.stop();
  });
});
