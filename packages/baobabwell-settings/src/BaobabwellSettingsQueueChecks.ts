/**
 * Consistency checks within a queue. They also run when schema validation fails, so that all
 * problems are reported together.
 */
import type { SettingsDocument, SettingsPath } from './BaobabwellSettingsDocument';
import type { Finding } from '@baobabwell/utils';

import { QueueAccess, QueueMode } from '@baobabwell/model';

import { parseDuration } from './BaobabwellSettingsUnits';

type QueueCheck = (document: SettingsDocument, path: SettingsPath) => Finding | null;

function hasWindow(document: SettingsDocument, path: SettingsPath): boolean {
  return document.getString([...path, 'window', 'opens']) !== null;
}

const checkWindow: QueueCheck = (document, path) => {
  const isDeferred = document.getString([...path, 'mode']) === QueueMode.Deferred;
  if (isDeferred === hasWindow(document, path)) {
    return null;
  }
  return isDeferred
    ? {
        place: document.findLocation([...path, 'mode']),
        problem: 'a deferred queue requires a window',
        allowed: 'window: { opens: 20:00, closes: 06:00 }',
      }
    : {
        place: document.findKeyLocation(path, 'window'),
        problem: 'an immediate queue cannot have a window',
        allowed: 'mode: deferred, or no window',
      };
};

const checkTeams: QueueCheck = (document, path) => {
  const isOpen = document.getString([...path, 'access']) === QueueAccess.Open;
  const hasTeams = document.listElements([...path, 'teams']).length > 0;
  if (isOpen !== hasTeams) {
    return null;
  }
  return isOpen
    ? {
        place: document.findLocation([...path, 'teams']),
        problem: 'a queue with open access cannot list teams',
        allowed: 'access: teams, or no teams',
      }
    : {
        place: document.findLocation([...path, 'teams']),
        problem: 'a queue with team access must list teams',
        allowed: 'teams that may call it, or access: open',
      };
};

const checkObjective: QueueCheck = (document, path) => {
  const latency = parseDuration(document.getString([...path, 'objective', 'latency']) ?? '');
  const deadline = parseDuration(document.getString([...path, 'deadline']) ?? '');
  return latency !== null && deadline !== null && latency > deadline
    ? {
        place: document.findLocation([...path, 'objective', 'latency']),
        problem: 'exceeds the deadline of the queue',
        allowed: `at most ${document.getString([...path, 'deadline'])}`,
      }
    : null;
};

const QUEUE_CHECKS: readonly QueueCheck[] = [checkWindow, checkTeams, checkObjective];

/** Checks all queues and lists the findings. */
export function checkQueues(document: SettingsDocument): readonly Finding[] {
  return document
    .listElements(['fleet', 'queues'])
    .flatMap(({ path }) => QUEUE_CHECKS.flatMap((check) => check(document, path) ?? []));
}
