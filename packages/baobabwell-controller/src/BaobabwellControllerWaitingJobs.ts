import type { TermContext } from './BaobabwellControllerContext';
import type { QueueSettings } from '@baobabwell/fleet';

import { findQueueByName, findQueueOfJob, hasSameAddress } from '@baobabwell/fleet';

/** Counts the waiting jobs of a queue, which the configuration of this process need not contain yet. */
export function countWaitingJobs(
  { jobRegistry, getConfiguration }: Pick<TermContext, 'jobRegistry' | 'getConfiguration'>,
  queue: QueueSettings,
): number {
  const configuration = getConfiguration();
  const known = findQueueByName(configuration, queue.name);
  const isKnown = known !== null && hasSameAddress(known, queue);
  const [counted, queues] = isKnown ? [known, configuration] : [queue, { queues: [queue] }];
  return jobRegistry.countWaiting((record) => findQueueOfJob(queues, record) === counted);
}
