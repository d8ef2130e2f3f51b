import { decideStreamAdmission } from '@mimosamill/core';
import type { StreamAdmission } from '@mimosamill/core';
import type { PlacedEngine } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

export type AdmissionOutcome =
  | Exclude<StreamAdmission, { kind: 'refuse' }>
  | { readonly kind: 'refuse'; readonly message: string; readonly retryAfterMs: number };

/** Why a stream is refused, for its caller. */
export const ADMISSION_MESSAGES = {
  yields: 'the engines are busy, and more urgent streams go first',
  late: 'the stream could not begin in time, and the engines are busy',
} as const;
const RATIO_DIGITS = 3;

/** Decides whether a stream is sent now, by the load of its service; logs a wait or a refusal. */
export function admitStream(
  ports: Pick<ForwardPorts, 'decisions' | 'metrics' | 'serviceLoads'>,
  request: ForwardRequest,
  placed: PlacedEngine,
  durationMs: number | undefined,
  nowMs: number,
): AdmissionOutcome {
  const { admission: terms, head, route, service } = request;
  if (terms === undefined || service.engine === undefined) return { kind: 'send' };
  // Engines have worked for a stream that is resumed, and a refusal would waste that.
  if (head.lastEventId !== undefined) return { kind: 'send' };
  const load = ports.serviceLoads.of(service.name, service.engine, nowMs);
  const { expectedFirstEventMs } = placed;
  const usedMs = nowMs - request.receivedAtMs;
  const admission = decideStreamAdmission({
    ...terms,
    load,
    targetMs: route.targetMs,
    usedMs,
    leftMs: request.deadlineAtMs - nowMs,
    expectedFirstEventMs,
    durationMs,
  });
  if (admission.kind === 'send') return admission;
  const fields = {
    request: head.requestId,
    route: route.name,
    level: terms.priorityClass.level,
    used_ms: Math.round(usedMs),
    expected_ms: Math.round(expectedFirstEventMs),
    slots_ratio: load.slotsRatio.toFixed(RATIO_DIGITS),
    memory_ratio: load.memoryRatio.toFixed(RATIO_DIGITS),
    prefill_ms: Math.round(load.prefillMs),
    has_waiting: load.hasWaiting,
    draw: terms.draw.toFixed(RATIO_DIGITS),
  };
  if (admission.kind === 'wait') {
    ports.metrics.onAdmission('wait');
    ports.decisions.routine('stream.wait', { ...fields, wait_ms: Math.round(admission.waitMs) });
    return admission;
  }
  const { reason, retryAfterMs } = admission;
  ports.metrics.onAdmission(reason);
  const retry = Math.round(retryAfterMs);
  ports.decisions.notable('stream.not_admitted', { ...fields, reason, retry_after_ms: retry });
  return { kind: 'refuse', message: ADMISSION_MESSAGES[reason], retryAfterMs };
}
