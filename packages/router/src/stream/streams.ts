import { createServeError } from '@mimosamill/core';
import { createStreamMetrics } from './metrics';
import { createResumeScheduler } from './resume-scheduler';
import { createRunningStream } from './stream';
import type { RequestId, ServeError } from '@mimosamill/core';
import type { StreamPorts, StreamReader, StreamRequest } from './ports';
import type { ReplicaLookupOutcome } from './replica';
import type { RunningStream } from './stream';

export type OpenOutcome =
  | { readonly kind: 'ok'; readonly stream: RunningStream }
  | { readonly kind: 'error'; readonly error: ServeError };

/** Every stream of this router. */
export interface Streams {
  readonly open: (request: StreamRequest, reader: StreamReader) => OpenOutcome;
  /** Connects a caller that has already received `haveTokens` tokens. */
  readonly reconnect: (
    request: StreamRequest,
    haveTokens: number,
    reader: StreamReader,
  ) => Promise<OpenOutcome>;
  readonly runningCount: () => number;
  /** Resolves once no stream is running. */
  readonly drained: () => Promise<void>;
  readonly stop: () => void;
}

const SWEEP_PERIOD_MS = 20;
const REPLICA_LOOKUP_RETRY_MS = 100;
/** Leaves the rest of the 3 s bound to the resume itself. */
const REPLICA_LOOKUP_TIMEOUT_MS = 2_000;
/** Every router has answered; only a tail that was on its way can still turn up. */
const REPLICA_ABSENT_TIMEOUT_MS = 300;
/** Ended streams are kept for callers that lost the end of the answer. */
const MAX_RETAINED_STREAMS = 10_000;

export function createStreams(ports: StreamPorts): Streams {
  const { clock } = ports;
  const streams = new Map<RequestId, RunningStream>();
  const running = ports.metrics.gauge('mimosamill_streams_running', 'Streams that have not ended');
  let drainWaiters: (() => void)[] = [];

  const resumes = createResumeScheduler(clock);
  const counters = createStreamMetrics(ports.metrics);

  const stopSweep = clock.runEvery(SWEEP_PERIOD_MS, sweep);

  ports.replicas.onRelease((requestId) => {
    const stream = streams.get(requestId);
    if (stream === undefined) return;
    streams.delete(requestId);
    stream.release();
  });

  ports.directory.onDown((engine) => {
    const lostRequests = [...streams.values()]
      .filter((stream) => stream.ended() === undefined && stream.isRunningOn(engine.engineId))
      .map((stream) => stream.lostRequest());
    if (lostRequests.length > 0) ports.suspects.onDeath(engine, lostRequests);
    ports.versions.onEngineDown(engine.service, engine, ports.directory.enginesOf(engine.service));
  });

  function sweep(): void {
    const nowMs = clock.monotonicMs();
    streams.forEach((stream, requestId) => {
      const wakeAtMs = stream.wakeAtMs();
      if (wakeAtMs !== undefined && nowMs >= wakeAtMs) stream.wake();
      const sinceMs = stream.detachedSinceMs();
      const isGone = sinceMs !== undefined && nowMs - sinceMs > stream.request.reconnectWindowMs;
      if (!isGone) return;
      stream.abandon();
      streams.delete(requestId);
    });
    resumes.startReady();
    forgetOldest();
    const count = runningCount();
    running.set(count);
    if (count > 0) return;
    drainWaiters.forEach((resolve) => resolve());
    drainWaiters = [];
  }

  function forgetOldest(): void {
    if (streams.size <= MAX_RETAINED_STREAMS) return;
    const ended = [...streams].filter(([, stream]) => stream.ended() !== undefined);
    ended
      .slice(0, streams.size - MAX_RETAINED_STREAMS)
      .forEach(([requestId]) => streams.delete(requestId));
  }

  function runningCount(): number {
    let count = 0;
    streams.forEach((stream) => {
      if (stream.ended() === undefined) count += 1;
    });
    return count;
  }

  function open(request: StreamRequest, reader: StreamReader): OpenOutcome {
    if (streams.has(request.requestId)) {
      const error = createServeError('bad_request', 'the request id is already in use');
      return { kind: 'error', error };
    }
    const stream = createRunningStream(ports, resumes, counters, request);
    streams.set(request.requestId, stream);
    stream.attach(reader);
    stream.start();
    return { kind: 'ok', stream };
  }

  async function reconnect(
    request: StreamRequest,
    haveTokens: number,
    reader: StreamReader,
  ): Promise<OpenOutcome> {
    const local = streams.get(request.requestId);
    if (local !== undefined) return reattach(local, request, haveTokens, reader);
    const found = await findReplica(request.requestId);
    if (found.kind === 'absent') {
      return journalLostOutcome(
        `no copy of the stream was found; ${found.unansweredCount} routers did not answer`,
      );
    }
    if (found.replica.metadata.bodyHash !== request.bodyHash) return bodyMismatchOutcome();
    const left = await ports.replicas.takeOver(found.replica);
    // Another connection of the same caller may have been faster.
    const raced = streams.get(request.requestId);
    if (raced !== undefined) return reattach(raced, request, haveTokens, reader);
    const stream = createRunningStream(ports, resumes, counters, request);
    streams.set(request.requestId, stream);
    stream.takeOver(left, haveTokens);
    stream.attach(reader);
    return { kind: 'ok', stream };
  }

  /**
   * Looks more than once: after the loss of a router many callers come back at the same moment, a
   * peer may refuse to be asked by all of them at once, and a restarted peer has a new address.
   */
  async function findReplica(requestId: RequestId): Promise<ReplicaLookupOutcome> {
    const startedAtMs = clock.monotonicMs();
    for (;;) {
      const found = await ports.replicas.find(requestId);
      if (found.kind === 'found') return found;
      const limitMs =
        found.unansweredCount > 0 ? REPLICA_LOOKUP_TIMEOUT_MS : REPLICA_ABSENT_TIMEOUT_MS;
      if (clock.monotonicMs() - startedAtMs >= limitMs) return found;
      await new Promise<void>((resolve) => {
        clock.runAfter(REPLICA_LOOKUP_RETRY_MS, resolve);
      });
    }
  }

  function reattach(
    stream: RunningStream,
    request: StreamRequest,
    haveTokens: number,
    reader: StreamReader,
  ): OpenOutcome {
    if (stream.request.bodyHash !== request.bodyHash) return bodyMismatchOutcome();
    if (stream.ended() !== undefined && haveTokens > stream.journal().length()) {
      return journalLostOutcome('the caller has more tokens than this router');
    }
    stream.attach(reader);
    return { kind: 'ok', stream };
  }

  return {
    open,
    reconnect,
    runningCount,
    drained: () =>
      new Promise((resolve) => {
        drainWaiters.push(resolve);
      }),
    stop: stopSweep,
  };
}

function journalLostOutcome(message: string): OpenOutcome {
  return { kind: 'error', error: createServeError('journal_lost', message, 'unknown') };
}

function bodyMismatchOutcome(): OpenOutcome {
  const message = 'the body differs from the one that started this stream';
  return { kind: 'error', error: createServeError('bad_request', message) };
}
