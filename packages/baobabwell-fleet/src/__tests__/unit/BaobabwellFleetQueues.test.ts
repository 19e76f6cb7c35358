import type { QueueSettings } from '../../index';

import { expect } from 'earl';

import { findQueueByName, getQueuesByName } from '../../index';

function createConfiguration(names: readonly string[]): { readonly queues: QueueSettings[] } {
  return { queues: names.map((name) => ({ name }) as QueueSettings) };
}

describe('queues of a configuration', () => {
  it('are found by name, in the configuration that is asked', () => {
    const first = createConfiguration(['bakes', 'cakes']);
    const second = createConfiguration(['cakes']);
    expect(findQueueByName(first, 'bakes')).toEqual(first.queues[0] ?? null);
    expect(findQueueByName(second, 'bakes')).toEqual(null);
    expect(findQueueByName(null, 'bakes')).toEqual(null);
  });

  it('are indexed once', () => {
    const configuration = createConfiguration(['bakes']);
    expect(getQueuesByName(configuration) === getQueuesByName(configuration)).toEqual(true);
  });
});
