import type { ServeError, ServiceName } from '@mimosamill/core';
import type { ForwardPorts, ForwardRequest } from './ports';

/** Callers that no server has room for come back after this time or twice as late. */
const NO_ROOM_RETRY_MS = 250;

type RoomPorts = Pick<ForwardPorts, 'clock' | 'fleet' | 'random'>;

/**
 * When a caller may come back if no server of the service takes a request with this draw, because of
 * the limits and pauses that the servers named; undefined if one takes it, or none is listed.
 */
export function noRoomForMs(
  { clock, fleet, random }: RoomPorts,
  service: ServiceName,
  draw: number,
): number | undefined {
  const nowMs = clock.monotonicMs();
  const claim = { service, draw, isFailover: false };
  const isListed = fleet.usable(service).length > 0;
  if (!isListed || fleet.withRoom(service, claim, nowMs).length > 0) return undefined;
  return fleet.roomInMs(service, nowMs) + NO_ROOM_RETRY_MS * (1 + random());
}

/** The error of a request that was not run, with the time when a server may take it. */
export function withRoomTime(
  ports: RoomPorts,
  { service, limitDraw }: ForwardRequest,
  error: ServeError,
): ServeError {
  if (error.runState !== 'not_run' || error.retryAfterMs === undefined) return error;
  const retryAfterMs = noRoomForMs(ports, service.name, limitDraw) ?? error.retryAfterMs;
  return { ...error, retryAfterMs };
}
