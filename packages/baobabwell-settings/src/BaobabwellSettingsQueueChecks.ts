/** Checks of what must hold within a queue; they run also when the schema objects. */
import type { SettingsDocument, SettingsPath } from './BaobabwellSettingsDocument';
import type { Finding } from '@baobabwell/utils';

import { QueueAccess, QueueMode } from '@baobabwell/model';

import { parseDuration } from './BaobabwellSettingsUnits';

type QueueCheck = (document: SettingsDocument, path: SettingsPath) => Finding | null;

function hasWindow(document: SettingsDocument, path: SettingsPath): boolean {
  return document.getText([...path, 'window', 'opens']) !== null;
}

const checkWindow: QueueCheck = (document, path) => {
  const isDeferred = document.getText([...path, 'mode']) === QueueMode.Deferred;
  if (isDeferred === hasWindow(document, path)) {
    return null;
  }
  return isDeferred
    ? {
        place: document.findPlace([...path, 'mode']),
        problem: 'a deferred queue has no window',
        allowed: 'window: { opens: 20:00, closes: 06:00 }',
      }
    : {
        place: document.findKeyPlace(path, 'window'),
        problem: 'an immediate queue has a window',
        allowed: 'mode: deferred, or no window',
      };
};

const checkTeams: QueueCheck = (document, path) => {
  const isOpen = document.getText([...path, 'access']) === QueueAccess.Open;
  const isNamed = document.listElements([...path, 'teams']).length > 0;
  if (isOpen !== isNamed) {
    return null;
  }
  return isOpen
    ? {
        place: document.findPlace([...path, 'teams']),
        problem: 'a queue open to all lists teams',
        allowed: 'access: teams, or no teams',
      }
    : {
        place: document.findPlace([...path, 'teams']),
        problem: 'a queue for teams lists none',
        allowed: 'teams that may call it, or access: open',
      };
};

const checkObjective: QueueCheck = (document, path) => {
  const latency = parseDuration(document.getText([...path, 'objective', 'latency']) ?? '');
  const deadline = parseDuration(document.getText([...path, 'deadline']) ?? '');
  return latency !== null && deadline !== null && latency > deadline
    ? {
        place: document.findPlace([...path, 'objective', 'latency']),
        problem: 'is longer than the deadline of the queue',
        allowed: `at most ${document.getText([...path, 'deadline'])}`,
      }
    : null;
};

const QUEUE_CHECKS: readonly QueueCheck[] = [checkWindow, checkTeams, checkObjective];

/** Lists what is wrong within the queues. */
export function checkQueues(document: SettingsDocument): readonly Finding[] {
  return document
    .listElements(['fleet', 'queues'])
    .flatMap(({ path }) => QUEUE_CHECKS.flatMap((check) => check(document, path) ?? []));
}
