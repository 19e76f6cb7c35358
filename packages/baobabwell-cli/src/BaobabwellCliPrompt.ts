/** The command `prompt`: an interactive prompt for statements, with history and completion. */
import type { OperatorTarget } from './BaobabwellCliOperatorClient';
import type { Argv } from 'yargs';

import { appendFile, readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';

import { writeErrorLine, writeLine } from './BaobabwellCliExit';
import { formatFailure, OperatorClient } from './BaobabwellCliOperatorClient';
import { ADDRESS_OPTION, CA_OPTION, getOperatorSecret } from './BaobabwellCliOptions';
import { formatReply } from './BaobabwellCliStatements';

const MAX_HISTORY_LINES = 1_000;
const EXIT_WORDS = ['exit', 'quit'];
const HELP = [
  'Type a query or a command; Tab completes it, the arrow keys recall earlier lines.',
  '  hosts where state = draining show id, pool',
  '  drain host oven-1 reason "new firmware"',
  '"exit" or Ctrl-D ends the prompt.',
].join('\n');

type PromptOptions = {
  readonly target: OperatorTarget;
  /** File that stores the history, or `null` for a history that ends with the prompt. */
  readonly historyFile: string | null;
};

type Completer = (
  line: string,
  callback: (error: null, result: [string[], string]) => void,
) => void;

async function readHistory(file: string | null): Promise<string[]> {
  if (file === null) {
    return [];
  }
  try {
    const lines = (await readFile(file, 'utf8')).split('\n').filter((line) => line !== '');
    return lines.slice(-MAX_HISTORY_LINES).toReversed();
  } catch {
    return [];
  }
}

function createCompleter(client: OperatorClient): Completer {
  return (line, callback) => {
    void client.listCompletions(line).then((completions) => {
      const start = (completions[0]?.column ?? line.length + 1) - 1;
      callback(null, [completions.map(({ text }) => text), line.slice(start)]);
    });
  };
}

/** Runs statements and tracks the latest version of the fleet that the operator has seen. */
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
  const reader = createInterface({
    input: process.stdin,
    output: process.stdout,
    prompt: 'baobabwell> ',
    history: await readHistory(historyFile),
    historySize: MAX_HISTORY_LINES,
    removeHistoryDuplicates: true,
    completer: createCompleter(client),
  });
  reader.prompt();
  for await (const line of reader) {
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
    reader.prompt();
  }
  reader.close();
  await client.close();
}

/** Adds the command `prompt`. */
export function addPrompt(cli: Argv): Argv {
  return cli.command(
    'prompt',
    'Run queries and commands interactively, with history and completion',
    (command) =>
      command
        .option('address', ADDRESS_OPTION)
        .option('ca', CA_OPTION)
        .option('history', { type: 'string', describe: 'File that stores the history' })
        .example('$0 prompt --address 10.0.0.1:8100', 'Connect to the fleet through one entry')
        .epilogue('The operator authenticates with the secret in BAOBABWELL_OPERATOR_SECRET.'),
    async ({ address, ca, history }) =>
      runPrompt({
        target: { address, secret: getOperatorSecret(), caFile: ca ?? null },
        historyFile: history ?? null,
      }),
  );
}
