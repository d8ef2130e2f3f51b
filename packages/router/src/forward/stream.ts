import { createStreamTimes } from '@mimosamill/core';
import { condemnedMessage } from './crash-guard';
import { forwardStream } from './running-stream';
import type { FailureDomain, RouteName, ServerState, ServerId } from '@mimosamill/core';
import type { ForwardPorts, ForwardRequest } from './ports';
import type { ActiveStream, RunningForwardStream, StreamSink } from './running-stream';

export type { RunningForwardStream, StreamSink } from './running-stream';

/** Forwards streams; when an engine fails, resumes its streams on other engines. */
export interface StreamForwarder {
  readonly forward: (request: ForwardRequest, sink: StreamSink) => RunningForwardStream;
  /** Called when many engines of a failure domain fail at about the same time. */
  readonly onDomainSuspected: (failureDomain: FailureDomain) => void;
  /** Called when an engine is lost or has restarted. */
  readonly onServerLost: (serverId: ServerId) => void;
  /** Called when an engine says that it is leaving: no stream may resume from a copy there. */
  readonly onServerLeaving: (serverId: ServerId) => void;
  /** Called when something is condemned: ends its streams that no engine has begun to answer. */
  readonly onCondemned: () => void;
  readonly activeCount: () => number;
  /** Mean time from request to end of the route's streams; undefined if none has completed. */
  readonly meanDurationMs: (route: RouteName) => number | undefined;
  /**
   * Longest time that a stream of the route has lately taken from its request to its end, or has taken
   * until now; undefined if none has completed lately.
   */
  readonly longestDurationMs: (route: RouteName) => number | undefined;
}

export function createStreamForwarder(ports: ForwardPorts): StreamForwarder {
  const active = new Set<ActiveStream>();
  const times = createStreamTimes();

  function longestDurationMs(route: RouteName): number | undefined {
    const nowMs = ports.clock.monotonicMs();
    const longestMs = times.longestMs(route, nowMs);
    if (longestMs === undefined) return undefined;
    const ages = [...active]
      .filter((stream) => stream.route === route)
      .map(({ receivedAtMs }) => nowMs - receivedAtMs);
    return Math.max(longestMs, ...ages);
  }

  function onDomainSuspected(failureDomain: FailureDomain): void {
    const nowMs = ports.clock.monotonicMs();
    suspectStreams((state) => {
      const isInDomain = state.server.failureDomain === failureDomain;
      return isInDomain && ports.fleet.isSuspected(state, nowMs);
    });
  }

  function suspectStreams(isAffected: (state: ServerState) => boolean): void {
    const nowMs = ports.clock.monotonicMs();
    [...active].forEach((stream) => {
      const engineId = stream.engineId();
      const state = engineId === undefined ? undefined : ports.fleet.get(engineId);
      if (state === undefined || !isAffected(state)) return;
      if (ports.fleet.hasSpareCapacity(state.server.service, nowMs)) {
        stream.notify({ kind: 'engine_suspected' });
      }
    });
  }

  function onServerLost(lostId: ServerId): void {
    suspectStreams(({ server }) => server.serverId === lostId);
    replaceCopiesAt(lostId);
  }

  /** Streams whose KV cache copy is on the engine have a new copy made elsewhere. */
  function replaceCopiesAt(engineId: ServerId): void {
    [...active].forEach((stream) => {
      if (stream.copyEngineId() === engineId) stream.notify({ kind: 'copy_lost', engineId });
    });
  }

  return {
    onServerLost,
    onServerLeaving: replaceCopiesAt,
    onCondemned: () => {
      [...active].forEach((stream) => {
        const condemnation = ports.crashGuard.findCondemned(stream.content);
        if (condemnation === undefined) return;
        stream.notify({ kind: 'prompt_condemned', message: condemnedMessage(condemnation) });
      });
    },
    forward: (request, sink) =>
      forwardStream(ports, request, sink, { active, times, onDomainSuspected, onServerLost }),
    onDomainSuspected,
    activeCount: () => active.size,
    meanDurationMs: times.meanMs,
    longestDurationMs,
  };
}
