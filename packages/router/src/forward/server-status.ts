import { finiteMs } from './finite';
import type { ForwardServer, RequestId, ServerId } from '@mimosamill/core';
import type { LimitNotice, ResponseMetadata } from './codec';
import type { ForwardPorts } from './ports';

/** Takes over what a server says of itself in the head of its response to a request. */
export function applyServerStatus(
  ports: ForwardPorts,
  server: ForwardServer,
  requestId: RequestId,
  metadata: ResponseMetadata,
): void {
  // Another server wrote the response, or it is an earlier one that was sent once more.
  const isOfOtherRequest = metadata.requestId !== undefined && metadata.requestId !== requestId;
  if (metadata.isMisdirected || isOfOtherRequest) return;
  const { clock, fleet } = ports;
  const { serverId } = server;
  const { load, isLeaving, retryAfterMs } = metadata;
  const nowMs = clock.monotonicMs();
  if (load !== undefined) fleet.onLoadReport(serverId, load, nowMs);
  if (isLeaving) onLeaving(ports, server, requestId, nowMs);
  if (retryAfterMs !== undefined) onPause(ports, server, requestId, retryAfterMs, nowMs);
  onLimit(ports, serverId, metadata.limit, nowMs);
}

function onLimit(
  { fleet, decisions, stateBroadcast }: ForwardPorts,
  serverId: ServerId,
  limit: LimitNotice,
  nowMs: number,
): void {
  // The server is still in need, so what it named before holds on.
  if (limit.kind === 'unreadable') return;
  const requestsPerSec = limit.kind === 'named' ? limit.requestsPerSec : undefined;
  const change = fleet.limits.onAnswer(serverId, requestsPerSec, nowMs);
  if (change === undefined) return;
  decisions.vital('server.limit', {
    server: serverId,
    requests_per_sec: change.requestsPerSec,
    source: 'answer',
  });
  stateBroadcast.sendSoon();
}

function onLeaving(
  { fleet, decisions, metrics, serverListAgeMs, onServerLeaving }: ForwardPorts,
  server: ForwardServer,
  requestId: RequestId,
  nowMs: number,
): void {
  if (!fleet.onLeaving(server, nowMs)) return;
  metrics.onServerNotice('leaving');
  decisions.vital('server.leaving', {
    server: server.serverId,
    started_at_ms: server.startedAtMs,
    request: requestId,
    list_age_ms: finiteMs(serverListAgeMs()),
  });
  onServerLeaving(server.serverId);
}

function onPause(
  { fleet, decisions, metrics }: ForwardPorts,
  server: ForwardServer,
  requestId: RequestId,
  pauseMs: number,
  nowMs: number,
): void {
  if (!fleet.onPause(server, pauseMs, nowMs)) return;
  metrics.onServerNotice('retry_after');
  decisions.vital('server.retry_after', {
    server: server.serverId,
    request: requestId,
    retry_after_ms: Math.round(pauseMs),
  });
}
