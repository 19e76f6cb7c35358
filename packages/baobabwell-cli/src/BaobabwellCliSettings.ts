import type { Settings } from '@baobabwell/settings';

import { readFile } from 'node:fs/promises';

import { parseSettings } from '@baobabwell/settings';
import { formatFinding } from '@baobabwell/utils';

import { ExitCode, writeErrorLine } from './BaobabwellCliExit';

/** Reads settings; on findings prints all of them and sets the exit code. */
export async function readSettings(file: string): Promise<Settings | null> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    writeErrorLine(`${file}: cannot be read: ${(error as Error).message}`);
    process.exitCode = ExitCode.BadInput;
    return null;
  }
  const parsed = parseSettings(text, file);
  if (parsed.ok) {
    return parsed.value;
  }
  parsed.error.forEach((finding) => writeErrorLine(formatFinding(finding)));
  process.exitCode = ExitCode.BadInput;
  return null;
}
