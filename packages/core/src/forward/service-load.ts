import type { ServiceName } from '../ids';
import type { ServiceLoad } from './admission';
import type { Fleet, ServerState } from './fleet';
import type { PeerRegistry } from './peers';
import type { EngineCapacity } from './types';

/** Sums up the load of all routers on the engines of a service. */
export interface ServiceLoads {
  readonly of: (service: ServiceName, capacity: EngineCapacity, nowMs: number) => ServiceLoad;
}

/** Time for which a sum is kept: it asks every engine and router, and the reports are older. */
const KEEP_MS = 50;
/** Engines tell their queue with answers only; what an older one said is no longer true. */
const REPORT_MAX_AGE_MS = 1_000;

/** Engines that are avoided or suspected are left out: nothing is sent there while others remain. */
export function createServiceLoads(
  fleet: Fleet,
  peers: PeerRegistry,
  prefillMsPerToken: () => number,
): ServiceLoads {
  const kept = new Map<ServiceName, { readonly atMs: number; readonly load: ServiceLoad }>();

  function isSound(state: ServerState, nowMs: number): boolean {
    return state.avoidUntilMs <= nowMs && !fleet.isSuspected(state, nowMs);
  }

  function sum(service: ServiceName, capacity: EngineCapacity, nowMs: number): ServiceLoad {
    const engines = fleet.usable(service).filter((state) => isSound(state, nowMs));
    if (engines.length === 0) {
      return { slotsRatio: 1, memoryRatio: 1, prefillMs: 0, hasWaiting: true };
    }
    let running = 0;
    let tokens = 0;
    let prefillMs = 0;
    engines.forEach((state) => {
      const peerLoad = peers.loadAt(state.server.serverId, nowMs);
      running += state.ownRunning + peerLoad.running;
      tokens += state.ownTokens + peerLoad.tokens;
      prefillMs += fleet.prefillLeftMs(state, nowMs, prefillMsPerToken()) + peerLoad.prefillMs;
    });
    return {
      slotsRatio: running / (engines.length * Math.max(1, capacity.slots)),
      memoryRatio: tokens / (engines.length * Math.max(1, capacity.memoryTokens)),
      prefillMs: prefillMs / engines.length,
      hasWaiting: engines.some(
        ({ report }) =>
          report !== undefined && report.waiting > 0 && nowMs - report.atMs <= REPORT_MAX_AGE_MS,
      ),
    };
  }

  return {
    of: (service, capacity, nowMs) => {
      const last = kept.get(service);
      if (last !== undefined && nowMs - last.atMs < KEEP_MS) return last.load;
      const load = sum(service, capacity, nowMs);
      kept.set(service, { atMs: nowMs, load });
      return load;
    },
  };
}
