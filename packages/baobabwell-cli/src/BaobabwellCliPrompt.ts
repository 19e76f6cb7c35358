/** The command `prompt`: statements one after the other, with history and completion. */
import type { OperatorTarget } from './BaobabwellCliOperatorClient';
import type { Argv } from 'yargs';

import { appendFile, readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';

import { writeErrorLine, writeLine } from './BaobabwellCliExit';
import { formatFailure, OperatorClient } from './BaobabwellCliOperatorClient';
import { ADDRESS_OPTION, CA_OPTION, getOperatorSecret } from './BaobabwellCliOptions';
import { formatReply } from './BaobabwellCliStatements';

const HISTORY_LINES = 1_000;
const EXIT_WORDS = ['exit', 'quit'];
const HELP = [
  'Type a query or a command; Tab completes it, the arrow keys recall earlier lines.',
  '  hosts where state = draining show id, pool',
  '  drain host oven-1 reason "new firmware"',
  '"exit" or Ctrl-D ends the prompt.',
].join('\n');

type PromptOptions = {
  readonly target: OperatorTarget;
  /** File in which lines are kept, or `null` to forget them. */
  readonly historyFile: string | null;
};

type Completer = (line: string, done: (error: null, found: [string[], string]) => void) => void;

async function readHistory(file: string | null): Promise<string[]> {
  if (file === null) {
    return [];
  }
  try {
    const lines = (await readFile(file, 'utf8')).split('\n').filter((line) => line !== '');
    return lines.slice(-HISTORY_LINES).toReversed();
  } catch {
    return [];
  }
}

function createCompleter(client: OperatorClient): Completer {
  return (line, done) => {
    void client.listCompletions(line).then((completions) => {
      const start = (completions[0]?.column ?? line.length + 1) - 1;
      done(null, [completions.map(({ text }) => text), line.slice(start)]);
    });
  };
}

/** Runs statements and remembers which version of the fleet the operator has seen. */
class PromptSession {
  readonly #client: OperatorClient;

  readonly #target: OperatorTarget;

  #seenVersion: number | null = null;

  constructor(client: OperatorClient, target: OperatorTarget) {
    this.#client = client;
    this.#target = target;
  }

  async run(text: string): Promise<void> {
    const sent = await this.#client.send(text, this.#seenVersion);
    if (!sent.ok) {
      writeErrorLine(formatFailure(sent.error, this.#target.address));
      return;
    }
    const { version } = sent.value as { version?: number };
    this.#seenVersion = version ?? this.#seenVersion;
    writeLine(formatReply(sent.value));
  }
}

async function runPrompt({ target, historyFile }: PromptOptions): Promise<void> {
  const client = await OperatorClient.open(target);
  const session = new PromptSession(client, target);
  const lines = createInterface({
    input: process.stdin,
    output: process.stdout,
    prompt: 'baobabwell> ',
    history: await readHistory(historyFile),
    historySize: HISTORY_LINES,
    removeHistoryDuplicates: true,
    completer: createCompleter(client),
  });
  lines.prompt();
  for await (const line of lines) {
    const text = line.trim();
    if (EXIT_WORDS.includes(text)) {
      break;
    }
    if (text === 'help') {
      writeLine(HELP);
    } else if (text !== '') {
      await session.run(text);
      if (historyFile !== null) {
        await appendFile(historyFile, `${text}\n`);
      }
    }
    lines.prompt();
  }
  lines.close();
  await client.close();
}

/** Adds the command `prompt`. */
export function addPrompt(cli: Argv): Argv {
  return cli.command(
    'prompt',
    'Ask and order interactively, with history and completion',
    (command) =>
      command
        .option('address', ADDRESS_OPTION)
        .option('ca', CA_OPTION)
        .option('history', { type: 'string', describe: 'File that keeps the lines typed' })
        .example('$0 prompt --address 10.0.0.1:8100', 'Talk to the fleet through one entry')
        .epilogue('The operator is known by the secret in BAOBABWELL_OPERATOR_SECRET.'),
    async ({ address, ca, history }) =>
      runPrompt({
        target: { address, secret: getOperatorSecret(), authorityFile: ca ?? null },
        historyFile: history ?? null,
      }),
  );
}
