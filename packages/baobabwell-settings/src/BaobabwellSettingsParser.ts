/** Reads and validates settings, and reports all problems together. */
import type { Settings } from './BaobabwellSettingsSchema';
import type { CertificateFiles } from './BaobabwellSettingsTls';
import type { Finding, Result } from '@baobabwell/utils';

import { readFile } from 'node:fs/promises';
import { dirname, resolve } from 'node:path';

import { createError, createOk, FindingList } from '@baobabwell/utils';

import { SettingsDocument } from './BaobabwellSettingsDocument';
import { buildFindings } from './BaobabwellSettingsIssues';
import { checkQueues } from './BaobabwellSettingsQueueChecks';
import { REFERENCE_CHECKS } from './BaobabwellSettingsReferences';
import { settingsSchema } from './BaobabwellSettingsSchema';

const MIN_SECRET_CHARACTERS = 16;
const SECRET_FILE_PATH = ['peers', 'secretFile'];

function checkSyntax(document: SettingsDocument, findings: FindingList): boolean {
  const problems = document.listProblems();
  problems.forEach(({ place, problem }) => {
    findings.add({ place, problem, allowed: 'YAML 1.2 without aliases' });
  });
  // A document with duplicate keys is still readable, so the other checks can run.
  return problems.every(({ isDuplicateKey }) => isDuplicateKey);
}

function checkSchema(document: SettingsDocument, findings: FindingList): Settings | null {
  const parsed = settingsSchema.safeParse(document.getValue());
  parsed.error?.issues
    .flatMap((issue) => buildFindings(document, settingsSchema, issue))
    .forEach((finding) => findings.add(finding));
  return parsed.data ?? null;
}

/** Returns the peers' secret from the settings or from the text of the secret file. */
function getPeersSecret(
  document: SettingsDocument,
  secretText: string | null,
  findings: FindingList,
): string | null {
  if (document.getString(SECRET_FILE_PATH) === null) {
    return document.getString(['peers', 'secret']);
  }
  const secret = secretText?.trim() ?? null;
  if (secret === null || secret.length < MIN_SECRET_CHARACTERS) {
    findings.add({
      place: document.findLocation(SECRET_FILE_PATH),
      problem: secret === null ? 'the file cannot be read' : 'the secret in the file is too short',
      allowed: `a readable file with a secret of ${MIN_SECRET_CHARACTERS} characters or more`,
    });
  }
  return secret;
}

/**
 * Parses settings written in YAML.
 *
 * @param file file name to use in findings.
 * @param secretText text of the file that `peers.secretFile` names, or `null`.
 * @returns the settings, or all findings ordered by location. Findings never quote a secret.
 */
export function parseSettings(
  text: string,
  file: string,
  secretText: string | null = null,
): Result<Settings, readonly Finding[]> {
  const document = new SettingsDocument(text, file);
  const findings = new FindingList();
  if (!checkSyntax(document, findings)) {
    return createError(findings.list());
  }
  const settings = checkSchema(document, findings);
  REFERENCE_CHECKS.forEach((check) => check(document, findings));
  checkQueues(document).forEach((finding) => findings.add(finding));
  const secret = getPeersSecret(document, secretText, findings);
  return settings !== null && secret !== null && findings.isEmpty()
    ? createOk({ ...settings, peers: { secret } })
    : createError(findings.list());
}

async function readTextFile(path: string): Promise<string | null> {
  try {
    return await readFile(path, 'utf8');
  } catch {
    return null;
  }
}

function resolveCertificateFiles(
  files: CertificateFiles | null,
  folder: string,
): CertificateFiles | null {
  return files === null
    ? null
    : { certificate: resolve(folder, files.certificate), key: resolve(folder, files.key) };
}

/**
 * Reads settings from a file. File names in the settings (the peers' secret, certificates) are
 * relative to the folder of that file.
 */
export async function readSettings(file: string): Promise<Result<Settings, readonly Finding[]>> {
  const text = await readTextFile(file);
  if (text === null) {
    const place = { file, line: 1, column: 1, path: '' };
    return createError([{ place, problem: 'cannot be read', allowed: 'a readable file' }]);
  }
  const folder = dirname(file);
  const secretFile = new SettingsDocument(text, file).getString(SECRET_FILE_PATH);
  const secretText = secretFile === null ? null : await readTextFile(resolve(folder, secretFile));
  const parsed = parseSettings(text, file, secretText);
  if (!parsed.ok) {
    return parsed;
  }
  const { callers, operators } = parsed.value.tls;
  const tls = {
    callers: resolveCertificateFiles(callers, folder),
    operators: resolveCertificateFiles(operators, folder),
  };
  return createOk({ ...parsed.value, tls });
}
