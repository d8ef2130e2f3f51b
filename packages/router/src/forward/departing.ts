import { finiteMs } from './finite';
import type { RequestId, ServerId } from '@mimosamill/core';
import type { ForwardPorts } from './ports';

/**
 * Logs and counts an attempt that is written to a server which is leaving, is no longer listed, or is
 * kept after its entry was removed. Called when the request is written: an attempt may wait for a
 * connection after its server was chosen.
 */
export function noteDepartingSend(
  ports: Pick<ForwardPorts, 'clock' | 'fleet' | 'decisions' | 'metrics' | 'serverListAgeMs'>,
  requestId: RequestId,
  attemptNo: number,
  serverId: ServerId,
): void {
  const state = ports.fleet.get(serverId);
  const { leavingSinceMs } = state ?? {};
  const isUncertain = state?.server.isUncertain === true;
  if (state !== undefined && leavingSinceMs === undefined && !isUncertain) return;
  const reason = departureOf(leavingSinceMs, isUncertain);
  ports.metrics.onDepartingSend(reason);
  const ageMs = ports.serverListAgeMs();
  ports.decisions.notable('server.departing_send', {
    request: requestId,
    attempt: attemptNo,
    server: serverId,
    state: reason,
    leaving_ms:
      leavingSinceMs === undefined
        ? undefined
        : Math.round(ports.clock.monotonicMs() - leavingSinceMs),
    list_age_ms: finiteMs(ageMs),
  });
}

function departureOf(leavingSinceMs: number | undefined, isUncertain: boolean): string {
  if (leavingSinceMs !== undefined) return 'leaving';
  return isUncertain ? 'uncertain' : 'unlisted';
}
