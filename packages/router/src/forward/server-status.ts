import type { ServerId } from '@mimosamill/core';
import type { ResponseMetadata } from './codec';
import type { ForwardPorts } from './ports';

/** Takes over what a server says of itself in the head of its response. */
export function applyServerStatus(
  { clock, fleet, decisions, stateBroadcast }: ForwardPorts,
  serverId: ServerId,
  { load, limitPerSec, isMisdirected }: ResponseMetadata,
): void {
  // Another server wrote the response.
  if (isMisdirected) return;
  const nowMs = clock.monotonicMs();
  if (load !== undefined) fleet.onLoadReport(serverId, load, nowMs);
  const change = fleet.limits.onAnswer(serverId, limitPerSec, nowMs);
  if (change === undefined) return;
  decisions.vital('server.limit', {
    server: serverId,
    requests_per_sec: change.requestsPerSec,
    source: 'answer',
  });
  stateBroadcast.sendSoon();
}
