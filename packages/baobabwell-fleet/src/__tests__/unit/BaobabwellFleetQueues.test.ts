import type { QueueSettings } from '../../index';

import { expect } from 'earl';

import { findQueueByName, findQueueOfJob, getQueuesByName } from '../../index';

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

describe('the queue of an accepted job', () => {
  const route = { name: 'bakes', httpHost: 'a.example', pathPrefix: '/b/', pool: 'ovens' };

  function find(queues: readonly Partial<QueueSettings>[]): unknown {
    const configuration = {
      queues: queues.map((changed) => ({ ...route, ...changed }) as QueueSettings),
    };
    const queue = findQueueOfJob(configuration, {
      queue: 'bakes',
      route: route as QueueSettings,
    });
    return [queue?.name, queue?.pathPrefix, queue?.pool, queue?.priority];
  }

  it('is the one of its name and address, in whatever pool', () => {
    expect(find([{ pool: 'stoves', priority: 2 }])).toEqual(['bakes', '/b/', 'stoves', 2]);
  });

  it('is the one at its address before the one of its name, in its pool', () => {
    const renamed = { name: 'breads', priority: 1 };
    const moved = { pathPrefix: '/c/', priority: 2 };
    expect(find([renamed, moved])).toEqual(['breads', '/b/', 'ovens', 1]);
    expect(find([moved])).toEqual(['bakes', '/c/', 'ovens', 2]);
    expect(find([{ ...renamed, pool: 'stoves' }, moved])).toEqual(['bakes', '/c/', 'ovens', 2]);
  });

  it('is the one that accepted it when another pool has its name or address', () => {
    const kept = ['bakes', '/b/', 'ovens', undefined];
    expect(find([])).toEqual(kept);
    expect(find([{ name: 'breads', pool: 'stoves', priority: 1 }])).toEqual(kept);
    expect(find([{ pathPrefix: '/c/', pool: 'stoves', priority: 1 }])).toEqual(kept);
  });

  it('is unknown without a configuration, and without its name where no settings are stored', () => {
    const accepted = { queue: 'bakes', route: route as QueueSettings };
    expect(findQueueOfJob(null, accepted)).toEqual(null);
    expect(findQueueOfJob({ queues: [] }, { queue: 'bakes' })).toEqual(null);
  });
});
