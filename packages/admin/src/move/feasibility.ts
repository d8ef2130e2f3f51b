import { getOwnEntry, planMove } from '@mimosamill/core';
import type { Clock, HostList, WeightStore } from '@mimosamill/adapters';
import type { MoveFeasibilityCheck } from './admin';

/**
 * Refuses orders that could not be met even by idle engines. The controller, which knows the
 * engines' load, judges the rest. Without host list or weight store nothing is refused here.
 */
export function createFeasibilityCheck(
  hosts: HostList,
  weights: WeightStore,
  clock: Clock,
): MoveFeasibilityCheck {
  return async (order, config) => {
    const service = getOwnEntry(config.services, order.service);
    if (service?.kind !== 'engine') return undefined;
    const [listed, version] = await Promise.all([
      hosts.read(),
      weights.describe(service.model, order.toVersion),
    ]);
    if (version.kind === 'absent') return `the weight store has no version ${order.toVersion}`;
    if (listed.kind !== 'ok' || version.kind !== 'ok') return undefined;
    const engineCount = listed.hosts.filter(
      (host) => host.role === 'engine' && host.service === order.service && host.state === 'live',
    ).length;
    const plan = planMove({
      nowMs: clock.nowMs(),
      deadlineMs: order.byMs,
      reachedShareRatio: 0,
      engineCount,
      loadedCount: 0,
      busyRatio: 0,
      sizeBytes: version.sizeBytes,
      bytesPerSec: version.bytesPerSec,
    });
    return plan.kind === 'refused' ? plan.reason : undefined;
  };
}
