import { getOwnEntry, planMove } from '@mimosamill/core';
import type { Clock, HostList, WeightStore } from '@mimosamill/adapters';
import type { MoveFeasibilityCheck } from './admin';

/**
 * Refuses orders that even idle engines could not meet. The controller, which reads the load of the
 * engines, decides on all others. If the host list or the weight store does not answer, no order is
 * refused here.
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
