import { sleep } from './faults';
import type { StandinServer, StandinPlatform } from '@mimosamill/platform/standin';
import type { Violation } from './checks';

/** A move of the plain service to another version, ordered while faults go on. */
export interface OrderedMove {
  /** Waits for the move's outcome, and checks it. */
  readonly findViolations: () => Promise<Violation[]>;
}

const MOVED_SERVICE = 'shop';
const TARGET_VERSION = 'v2';
const PROMISE = 'a version move ends once, and not with a bad version';
const DEADLINE_SEC = 6;
/** Time after the order's own within which routers that were lost have written its end. */
const OUTCOME_GRACE_MS = 8_000;
const POLL_INTERVAL_MS = 50;
const OUTCOME_STABLE_MS = 500;

/** Lists a server of a new version, which fails every call if it is bad, and orders the move. */
export async function orderVersionMove(
  world: StandinPlatform,
  startServer: (serverId: string, version: string) => Promise<StandinServer>,
  isBad: boolean,
): Promise<OrderedMove> {
  const server = await startServer(`p-${TARGET_VERSION}`, TARGET_VERSION);
  if (isBad) server.setFault('failing');
  world.store.put('op', `rollout/${MOVED_SERVICE}`, {
    service: MOVED_SERVICE,
    to: TARGET_VERSION,
    deadline_s: DEADLINE_SEC,
  });
  const orderedAtMs = performance.now();
  const state = (): string | undefined => {
    const row = world.store.get('status', `rollout/${MOVED_SERVICE}`) as
      { state: string } | undefined;
    return row?.state === 'running' ? undefined : row?.state;
  };
  const violation = (detail: string): Violation => ({
    promise: PROMISE,
    requestId: `rollout/${MOVED_SERVICE}`,
    detail,
  });

  async function findViolations(): Promise<Violation[]> {
    const endMs = orderedAtMs + DEADLINE_SEC * 1_000 + OUTCOME_GRACE_MS;
    while (state() === undefined && performance.now() < endMs) await sleep(POLL_INTERVAL_MS);
    const outcome = state();
    if (outcome === undefined) return [violation('no end was written')];
    await sleep(OUTCOME_STABLE_MS);
    const later = state();
    if (later !== outcome) return [violation(`${outcome} became ${String(later)}`)];
    return isBad && outcome === 'completed' ? [violation('a bad version was completed')] : [];
  }

  return { findViolations };
}
