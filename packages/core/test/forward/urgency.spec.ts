import { describe, expect, it } from 'vitest';
import { asId, createPriorityClasses, urgencyOf } from '../../src/index';
import type { ForwardConfig, ForwardRoute, RouteKind, ServiceName } from '../../src/index';

const GUIDE = asId<ServiceName>('guide');

const route = (name: string, priority: number, kind: RouteKind = 'stream'): ForwardRoute => ({
  name: asId(name),
  host: 'h',
  pathPrefix: `/${name}`,
  kind,
  timeoutMs: 25_000,
  targetMs: name === 'paid' ? 4_000 : 10_000,
  gapTargetMs: 700,
  attemptsMax: 5,
  priority,
  isPublic: false,
  isResumable: true,
  targets: [{ service: GUIDE, weight: 1 }],
});

function configOf(
  routes: readonly ForwardRoute[],
  customers?: Readonly<Record<string, number | undefined>>,
): ForwardConfig {
  return {
    revision: 1,
    routes,
    services: [],
    limits: { headerMaxBytes: 1, bodyMaxBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    customers:
      customers &&
      Object.entries(customers).map(([key, priority]) => ({
        customerId: asId(key),
        keys: [key],
        priority,
      })),
  };
}

/** Urgency of a new, a begun and a resumed stream of each route, for a caller with this key. */
function urgencies(config: ForwardConfig, key?: string): string[] {
  const classOf = createPriorityClasses(config);
  return config.routes.map((each) => {
    const priorityClass = classOf(each, GUIDE, key);
    const states = [
      { hasBegun: false, isResumed: false },
      { hasBegun: true, isResumed: false },
      { hasBegun: false, isResumed: true },
    ];
    return states.map((state) => urgencyOf({ priorityClass, ...state })).join(' ');
  });
}

const FORMER = 'ordinary begun ordinary';

describe('the urgency that engines are told', () => {
  it('follows the priorities of the routes, with begun streams first', () => {
    // Guards against paid and bulk streams that wait alike, and against new streams that interrupt
    // those whose callers already read.
    expect(urgencies(configOf([route('paid', 0), route('mid', 1), route('bulk', 2)]))).toEqual([
      'urgent urgent_begun urgent_begun',
      'raised begun begun',
      'ordinary begun begun',
    ]);
  });

  it('follows the priority of a customer first, then that of the route', () => {
    // Guards against routes that are not told apart because each customer has a priority too.
    const routes = [route('paid', 0), route('bulk', 2)];
    const newStreams = (customers: Readonly<Record<string, number | undefined>>, key: string) =>
      urgencies(configOf(routes, customers), key).map((text) => text.split(' ')[0]);
    const customers = { k: 0, low: 2, none: undefined };
    expect(newStreams(customers, 'k')).toEqual(['urgent', 'raised']);
    expect(newStreams(customers, 'low')).toEqual(['raised', 'ordinary']);
    expect(newStreams(customers, 'none')).toEqual(['urgent', 'ordinary']);
    expect(newStreams({ k: 1, l: 1 }, 'k')).toEqual(['urgent', 'ordinary']);
  });

  it('stays as it was unless routes have valid priorities that differ', () => {
    // Guards against a change for deployments that order nothing, and against bad priorities.
    const former = [
      configOf([route('a', 0), route('b', 0)]),
      configOf([route('a', 1), route('b', 1), route('call', 2, 'once')]),
      configOf([route('a', -1), route('b', 2)]),
      configOf([route('a', 0), route('b', 1e12)]),
      configOf([route('a', 0), route('b', 0.5)]),
      configOf([route('a', 1), route('b', 1)], { k: 0, l: 2, m: Number.NaN }),
    ];
    former.forEach((config) => {
      const streams = config.routes.filter(({ kind }) => kind === 'stream').length;
      expect(urgencies(config, 'k').slice(0, streams)).toEqual(Array(streams).fill(FORMER));
    });
  });
});
