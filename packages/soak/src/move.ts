import { sleep } from './faults';
import type { StandinServer, StandinPlatform } from '@mimosamill/platform/standin';
import type { Violation } from './checks';

/** A move of the plain service to another version, in progress while faults are injected. */
export interface OrderedMove {
  /** Waits for the end of the move and checks how it ended. */
  readonly findViolations: () => Promise<Violation[]>;
}

const MOVED_SERVICE = 'shop';
const TARGET_VERSION = 'v2';
const PROMISE = 'a version move ends once, and not with a bad version';
const DEADLINE_SEC = 6;
/** Time after the deadline of the move for routers that were paused or killed to record its end. */
const OUTCOME_GRACE_MS = 8_000;
const POLL_INTERVAL_MS = 50;
/** Time for which the recorded end must not change: a move ends only once. */
const OUTCOME_STABLE_MS = 500;

/** Lists a server of a new version, which fails every call if `isBad`, and orders the move to it. */
export async function orderVersionMove(
  platform: StandinPlatform,
  startServer: (serverId: string, version: string) => Promise<StandinServer>,
  isBad: boolean,
): Promise<OrderedMove> {
  const server = await startServer(`p-${TARGET_VERSION}`, TARGET_VERSION);
  if (isBad) server.setFault('failing');
  platform.store.put('op', `rollout/${MOVED_SERVICE}`, {
    service: MOVED_SERVICE,
    to: TARGET_VERSION,
    deadline_s: DEADLINE_SEC,
  });
  const orderedAtMs = performance.now();
  const endState = (): string | undefined => {
    const row = platform.store.get('status', `rollout/${MOVED_SERVICE}`) as
      { state: string } | undefined;
    return row?.state === 'running' ? undefined : row?.state;
  };
  const toViolation = (detail: string): Violation => ({
    promise: PROMISE,
    requestId: `rollout/${MOVED_SERVICE}`,
    detail,
  });

  async function findViolations(): Promise<Violation[]> {
    const endMs = orderedAtMs + DEADLINE_SEC * 1_000 + OUTCOME_GRACE_MS;
    while (endState() === undefined && performance.now() < endMs) await sleep(POLL_INTERVAL_MS);
    const end = endState();
    if (end === undefined) return [toViolation('no end recorded in time')];
    await sleep(OUTCOME_STABLE_MS);
    const laterEnd = endState();
    if (laterEnd !== end) return [toViolation(`end ${end} changed to ${String(laterEnd)}`)];
    return isBad && end === 'completed' ? [toViolation('move to a bad version completed')] : [];
  }

  return { findViolations };
}
