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

/** The streams of this router. */
export interface Streams {
  readonly open: (request: StreamRequest, reader: StreamReader) => OpenOutcome;
  /** Connects a caller that has already received `receivedTokens` tokens. */
  readonly reconnect: (
    request: StreamRequest,
    receivedTokens: number,
    reader: StreamReader,
  ) => Promise<OpenOutcome>;
  readonly runningCount: () => number;
  /** Resolves once no stream is running. */
  readonly drained: () => Promise<void>;
  readonly stop: () => void;
}

const SWEEP_PERIOD_MS = 20;
const REPLICA_LOOKUP_RETRY_MS = 100;
/** A stream has to resume within 3 s; the rest of that time is left for the resume itself. */
const REPLICA_LOOKUP_TIMEOUT_MS = 2_000;
/** Used if every router has answered: then only a replica still being sent can be found later. */
const REPLICA_ABSENT_TIMEOUT_MS = 300;
/** Ended streams are kept for callers that did not receive the end of the answer. */
const MAX_RETAINED_STREAMS = 10_000;

export function createStreams(ports: StreamPorts): Streams {
  const { clock } = ports;
  const streams = new Map<RequestId, RunningStream>();
  const running = ports.metrics.gauge('mimosamill_streams_running', 'Streams that have not ended');
  let drainWaiters: (() => void)[] = [];

  const resumes = createResumeScheduler(clock);
  const metrics = createStreamMetrics(ports.metrics);

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
      const detachedSinceMs = stream.detachedSinceMs();
      const isReconnectExpired =
        detachedSinceMs !== undefined && nowMs - detachedSinceMs > stream.request.reconnectWindowMs;
      if (!isReconnectExpired) return;
      stream.abandon();
      streams.delete(requestId);
    });
    resumes.startReady();
    evictOldestEnded();
    const count = runningCount();
    running.set(count);
    if (count > 0) return;
    drainWaiters.forEach((resolve) => resolve());
    drainWaiters = [];
  }

  function evictOldestEnded(): void {
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
    const stream = createRunningStream(ports, resumes, metrics, request);
    streams.set(request.requestId, stream);
    stream.attach(reader);
    stream.start();
    return { kind: 'ok', stream };
  }

  async function reconnect(
    request: StreamRequest,
    receivedTokens: number,
    reader: StreamReader,
  ): Promise<OpenOutcome> {
    const known = streams.get(request.requestId);
    if (known !== undefined) return reattach(known, request, receivedTokens, reader);
    const found = await findReplica(request.requestId);
    if (found.kind === 'absent') {
      return journalLostOutcome(
        `no replica of the stream was found; ${found.unansweredCount} routers did not answer`,
      );
    }
    if (found.replica.metadata.bodyHash !== request.bodyHash) return bodyMismatchOutcome();
    const latest = await ports.replicas.takeOver(found.replica);
    // Another connection of the same caller may have taken the stream over in the meantime.
    const concurrent = streams.get(request.requestId);
    if (concurrent !== undefined) return reattach(concurrent, request, receivedTokens, reader);
    const stream = createRunningStream(ports, resumes, metrics, request);
    streams.set(request.requestId, stream);
    stream.takeOver(latest, receivedTokens);
    stream.attach(reader);
    return { kind: 'ok', stream };
  }

  /**
   * Repeats the lookup until it finds a replica or times out. After the loss of a router many callers
   * reconnect at the same moment, so a peer may refuse some lookups, and a restarted peer has a new
   * address.
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
    receivedTokens: number,
    reader: StreamReader,
  ): OpenOutcome {
    if (stream.request.bodyHash !== request.bodyHash) return bodyMismatchOutcome();
    if (stream.ended() !== undefined && receivedTokens > stream.journal().length()) {
      return journalLostOutcome('the caller has received more tokens than this router holds');
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
  const message = 'the request body differs from the one that started this stream';
  return { kind: 'error', error: createServeError('bad_request', message) };
}
