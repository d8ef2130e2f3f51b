import { pause } from './faults';
import type { StandinServer, StandinPlatform } from '@mimosamill/platform/standin';
import type { Violation } from './checks';

/** A move of the plain service to another version, ordered while faults go on. */
export interface SoakMove {
  /** Waits for the move's outcome, and checks it. */
  readonly findViolations: () => Promise<Violation[]>;
}

const SERVICE = 'shop';
const VERSION = 'v2';
const PROMISE = 'a version move ends once, and not with a bad version';
const WITHIN_SEC = 6;
/** Time after the order's own within which routers that were lost have written its end. */
const SLACK_MS = 8_000;
const POLL_MS = 50;
const STABLE_MS = 500;

/** Lists a server of a new version, which fails every call if it is bad, and orders the move. */
export async function orderMove(
  world: StandinPlatform,
  startServer: (serverId: string, version: string) => Promise<StandinServer>,
  isBad: boolean,
): Promise<SoakMove> {
  const server = await startServer(`p-${VERSION}`, VERSION);
  if (isBad) server.setFault('failing');
  world.store.put('op', `rollout/${SERVICE}`, {
    service: SERVICE,
    to: VERSION,
    deadline_s: WITHIN_SEC,
  });
  const orderedAtMs = performance.now();
  const state = (): string | undefined => {
    const row = world.store.get('status', `rollout/${SERVICE}`) as { state: string } | undefined;
    return row?.state === 'running' ? undefined : row?.state;
  };
  const violation = (detail: string): Violation => ({
    promise: PROMISE,
    requestId: `rollout/${SERVICE}`,
    detail,
  });

  async function findViolations(): Promise<Violation[]> {
    const endMs = orderedAtMs + WITHIN_SEC * 1_000 + SLACK_MS;
    while (state() === undefined && performance.now() < endMs) await pause(POLL_MS);
    const outcome = state();
    if (outcome === undefined) return [violation('no end was written')];
    await pause(STABLE_MS);
    const later = state();
    if (later !== outcome) return [violation(`${outcome} became ${String(later)}`)];
    return isBad && outcome === 'completed' ? [violation('a bad version was completed')] : [];
  }

  return { findViolations };
}
