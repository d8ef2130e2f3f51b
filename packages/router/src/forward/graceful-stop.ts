import { withTimeout } from '../call/async';
import type { Clock, DecisionLog } from '@mimosamill/adapters';
import type { Ingress } from './ingress';

export interface GracefulStopPorts {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly ingress: Pick<Ingress, 'startDraining' | 'stopAccepting' | 'cutAll' | 'activeCount'>;
  /** Called once no request is left: ends timers and polls. */
  readonly stopParts: () => void;
  /** Closes what is open, by name. */
  readonly close: () => Readonly<Record<string, Promise<void>>>;
}

/**
 * Time to serve on with a failing readiness check: the load balancer removes a router after two failed
 * checks, one a second.
 */
const READINESS_FAIL_MS = 2_600;
/** Part of the grace period that is reserved for closing connections. */
const CLOSE_MARGIN_MS = 500;
const CLOSE_TIMEOUT_MS = 250;
/** Time in which the errors of requests that were cut off are written to their callers. */
const CUT_FLUSH_MS = 100;

/** Ends a router within the time between SIGTERM and SIGKILL without cutting off what can still end. */
export async function stopGracefully(graceMs: number, ports: GracefulStopPorts): Promise<void> {
  const { clock, decisions, ingress } = ports;
  const startedAtMs = clock.monotonicMs();
  const cutAtMs = startedAtMs + graceMs - CLOSE_MARGIN_MS;
  ingress.startDraining(cutAtMs);
  decisions.vital('router.stopping', { active: ingress.activeCount() });
  await delay(clock, Math.min(READINESS_FAIL_MS, graceMs / 2));
  const cancelCut = clock.runAfter(cutAtMs - clock.monotonicMs(), ingress.cutAll);
  await ingress.stopAccepting(cutAtMs - clock.monotonicMs() + CUT_FLUSH_MS);
  cancelCut();
  decisions.vital('router.stopped', {
    took_ms: Math.round(clock.monotonicMs() - startedAtMs),
  });
  ports.stopParts();
  const left = await stillOpenAfter(CLOSE_TIMEOUT_MS, ports.close(), clock);
  if (left.length > 0) decisions.vital('router.close_given_up', { open: left });
}

/** Bounds the wait, since a connection that does not close must not keep the process running. */
async function stillOpenAfter(
  timeoutMs: number,
  closes: Readonly<Record<string, Promise<void>>>,
  clock: Clock,
): Promise<readonly string[]> {
  const open = new Set(Object.keys(closes));
  const closed = Object.entries(closes).map(async ([part, close]) => {
    await close;
    open.delete(part);
  });
  await withTimeout<unknown>(clock, Promise.all(closed), timeoutMs, undefined);
  return [...open];
}

function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.runAfter(delayMs, resolve);
  });
}
