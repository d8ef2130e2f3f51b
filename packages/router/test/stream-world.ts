import { loadHashFunctions, createLog, createMetrics, createTracer } from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import {
  createEngineGroup,
  createRandom,
  createVirtualTime,
  expectedTokenTexts,
} from '@mimosamill/fakes';
import { createStreams } from '../src/stream/streams';
import type { EngineClient } from '@mimosamill/adapters';
import type {
  EngineId,
  EngineServiceConfig,
  HeldReplica,
  ReplicaMetadata,
  RequestId,
  RouteRequest,
  RunState,
  RoutedRequest,
} from '@mimosamill/core';
import type { EngineGroup, VirtualTime } from '@mimosamill/fakes';
import type { EngineDirectory, KnownEngine, StreamPorts, StreamRequest } from '../src/stream/ports';
import type { RunningStream } from '../src/stream/stream';
import type { Streams } from '../src/stream/streams';

const hashes = await loadHashFunctions();
const NETWORK_MS = 1;
/** Tokens by which a replica lags behind its stream. */
const REPLICA_LAG_TOKENS = 5;
export const TOKENS = 150;

export const ENGINE_IDS = ['e1', 'e2', 'e3', 'e4'].map((id) => asId<EngineId>(id));

export const SERVICE: EngineServiceConfig = {
  kind: 'engine',
  name: asId('guide'),
  team: asId('guild'),
  model: 'guide',
  adapters: [],
  stableVersion: asId('v1'),
  fencing: 'enforced',
};

/** A caller that reconnects to the next router with the tokens that it has received. */
export interface TestCaller {
  readonly requestId: RequestId;
  readonly texts: string[];
  end: string | undefined;
  runState: RunState | undefined;
}

export interface StreamWorld {
  readonly time: VirtualTime;
  readonly engines: EngineGroup;
  /** Recorded events, one line each. */
  readonly events: string[];
  /** Result and token count of each request that was sent to an engine. */
  readonly requestEnds: string[];
  readonly overloadedCount: () => number;
  readonly call: (name: string, overrides?: Partial<StreamRequest>) => TestCaller;
  /** Ends the caller's connection. */
  readonly disconnect: (caller: TestCaller) => void;
  /** Kills the running router; callers reconnect to a new one. */
  readonly killRouter: () => void;
  readonly expectedTexts: (name: string) => string[];
}

export function createStreamWorld(
  seed: number,
  engineLimits: { readonly maxQueued?: number } = {},
): StreamWorld {
  const time = createVirtualTime();
  const { clock } = time;
  const random = createRandom(seed);
  const events: string[] = [];
  const requestEnds: string[] = [];
  let overloadedCount = 0;
  const engines = createEngineGroup({
    clock,
    random,
    hash: hashes.hash32,
    engineIds: ENGINE_IDS,
    networkDelayMs: NETWORK_MS,
    settings: { ...engineLimits, loaded: [{ model: 'guide', version: 'v1', adapters: [] }] },
  });
  const replicas = new Map<RequestId, HeldReplica>();
  const callers = new Map<RequestId, TestCaller>();
  let streams = createRouter();

  function record(text: string): void {
    events.push(`${clock.monotonicMs().toFixed(0).padStart(5)} ${text}`);
  }

  function createRouter(): Streams {
    const router = { isAlive: true };
    const ports: StreamPorts = {
      clock: {
        ...clock,
        runAfter: (delayMs, fn) => clock.runAfter(delayMs, () => router.isAlive && fn()),
        runEvery: (periodMs, fn) => clock.runEvery(periodMs, () => router.isAlive && fn()),
      },
      log: createLog('test', 'silent'),
      engines: createClient(router),
      directory: createDirectory(),
      replicas: {
        onStart: (metadata, texts = []) =>
          replicas.set(metadata.requestId, toReplica(metadata, texts)),
        onAttempt: (metadata) => {
          const takeoverCount = replicas.get(metadata.requestId)?.metadata.takeoverCount ?? 0;
          const next = { ...metadata, takeoverCount };
          replicas.set(metadata.requestId, toReplica(next, textsOf(metadata.requestId)));
        },
        onToken: (requestId, index, text) => copyToken(requestId, index, text),
        onEnd: () => undefined,
        find: (requestId) => {
          const held = replicas.get(requestId);
          const absent = { kind: 'absent', unansweredCount: 0 } as const;
          return Promise.resolve(
            held === undefined ? absent : { kind: 'found', replica: withReplicaLag(held) },
          );
        },
        takeOver: (held) => Promise.resolve(held),
        onRelease: () => undefined,
      },
      suspects: {
        admit: () => ({ kind: 'run' }),
        onPlaced: () => undefined,
        enginesToAvoid: () => new Set(),
        onProgress: () => undefined,
        onDeath: (engine, lost) => record(`${engine.engineId} died with ${lost.length} requests`),
        onEnd: () => undefined,
      },
      versions: {
        chooseVersion: () => ({ kind: 'ok', version: SERVICE.stableVersion, group: 'other' }),
        enginesToAvoid: () => new Set(),
        onAttempt: () => ({
          onFirstToken: () => undefined,
          onGap: () => undefined,
          onOutcome: () => undefined,
        }),
        onEngineDown: () => undefined,
      },
      metrics: createMetrics(),
      blockKeysOf: () => [],
      fingerprintOf: (text) => asId(hashes.hash64(text)),
    };
    const created = createStreams(ports);
    return {
      ...created,
      stop: () => {
        router.isAlive = false;
        created.stop();
      },
    };
  }

  /** An engine client whose events are dropped once its router is dead. */
  function createClient(router: { readonly isAlive: boolean }): EngineClient {
    const { client } = engines;
    return {
      generate: (address, request, onEvent) => {
        record(
          `${request.requestId} attempt ${request.attemptNo} at ${address} from ${request.generatedTokens.length}`,
        );
        return client.generate(address, request, (event) => router.isAlive && onEvent(event));
      },
      attach: (address, requestId, attemptNo, from, onEvent) => {
        record(`${requestId} attempt ${attemptNo} attaches at ${address} from ${from}`);
        return client.attach(
          address,
          requestId,
          attemptNo,
          from,
          (event) => router.isAlive && onEvent(event),
        );
      },
      cancel: client.cancel,
    } as EngineClient;
  }

  function createDirectory(): EngineDirectory {
    const known: KnownEngine[] = ENGINE_IDS.map((engineId) => ({
      engineId,
      address: engineId,
      service: SERVICE.name,
      failureDomain: asId('marka'),
      versions: ['v1'],
    }));
    const downListeners: ((engine: KnownEngine) => void)[] = [];
    const reported = new Set<EngineId>();
    let next = 0;
    return {
      pick: (request: RouteRequest) => {
        const usable = known.filter(({ engineId }) => !request.excluded.has(engineId));
        next += 1;
        const engine = usable[next % Math.max(1, usable.length)];
        if (engine === undefined) return { kind: 'none', reason: 'all_excluded' };
        return { kind: 'ok', ...engine, expectedTtftMs: 10 };
      },
      onSent: (engineId) => ({ engineId }) as RoutedRequest,
      onFirstToken: () => undefined,
      onEnd: (_send, result, tokens) => requestEnds.push(`${result} ${tokens}`),
      onLeaving: () => undefined,
      enginesOf: () => known,
      loadRatioOf: () => 0.1,
      typicalStepMs: () => 9,
      confirmDown: (engineId) => {
        const engine = known.find((each) => each.engineId === engineId);
        const isDown = engines.isDown(engineId);
        if (isDown && engine !== undefined && !reported.has(engineId)) {
          reported.add(engineId);
          downListeners.forEach((listener) => listener(engine));
        }
        return Promise.resolve(isDown);
      },
      onDown: (listener) => {
        downListeners.push(listener);
      },
    };
  }

  function textsOf(requestId: RequestId): readonly string[] {
    return replicas.get(requestId)?.texts ?? [];
  }

  function copyToken(requestId: RequestId, index: number, text: string): void {
    const held = replicas.get(requestId);
    if (held === undefined || held.texts.length !== index) return;
    replicas.set(requestId, { ...held, texts: [...held.texts, text] });
  }

  function call(name: string, overrides: Partial<StreamRequest> = {}): TestCaller {
    const caller: TestCaller = {
      requestId: asId(name),
      texts: [],
      end: undefined,
      runState: undefined,
    };
    callers.set(caller.requestId, caller);
    const request = { ...toRequest(name), ...overrides };
    bindStream(caller, streams.open(request, readerOf(caller)));
    return caller;
  }

  const boundStreams = new Map<TestCaller, RunningStream>();

  const readers = new Map<TestCaller, { readonly onProgress: () => void }>();

  function readerOf(caller: TestCaller): { readonly onProgress: () => void } {
    const reader = { onProgress: () => readTokens(caller) };
    readers.set(caller, reader);
    return reader;
  }

  function disconnect(caller: TestCaller): void {
    const reader = readers.get(caller);
    if (reader !== undefined) boundStreams.get(caller)?.detach(reader);
  }

  function readTokens(caller: TestCaller): void {
    const stream = boundStreams.get(caller);
    if (stream === undefined || caller.end !== undefined) return;
    const texts = stream.journal().texts();
    caller.texts.push(...texts.slice(caller.texts.length));
    const end = stream.ended();
    if (end === undefined) return;
    caller.end = end.kind === 'finish' ? 'finish' : end.error.code;
    if (end.kind === 'error') caller.runState = end.error.runState;
    record(`${caller.requestId} ends: ${caller.end} after ${caller.texts.length} tokens`);
  }

  function bindStream(caller: TestCaller, outcome: ReturnType<Streams['open']>): void {
    if (outcome.kind === 'error') {
      caller.end = outcome.error.code;
      record(`${caller.requestId} ends: ${caller.end}`);
      return;
    }
    boundStreams.set(caller, outcome.stream);
    readTokens(caller);
  }

  function killRouter(): void {
    record('router dies');
    streams.stop();
    streams = createRouter();
    callers.forEach((caller) => {
      if (caller.end !== undefined) return;
      boundStreams.delete(caller);
      const reader = readerOf(caller);
      void streams
        .reconnect(toRequest(caller.requestId), caller.texts.length, reader)
        .then((outcome) => bindStream(caller, outcome));
    });
  }

  return {
    time,
    engines,
    events,
    requestEnds,
    overloadedCount: () => overloadedCount,
    call,
    disconnect,
    killRouter,
    expectedTexts: (name) => expectedTokenTexts(sourceOf(name), TOKENS, hashes.hash32),
  };

  function toRequest(name: string): StreamRequest {
    return {
      requestId: asId(name),
      service: SERVICE,
      adapter: '',
      prompt: name,
      maxTokens: TOKENS,
      seed: 0,
      priority: 'normal',
      deadlineAtMs: 60_000,
      reconnectWindowMs: 30_000,
      silenceMinMs: 250,
      silenceMaxMs: 1_000,
      bodyHash: name,
      permit: {
        onFirstToken: () => undefined,
        onTokens: () => undefined,
        onOverloaded: () => {
          overloadedCount += 1;
        },
        onEnd: () => undefined,
      },
      span: createTracer('test', { sampleRatio: 0 }).start('test', undefined),
    };
  }
}

function sourceOf(name: string): Parameters<typeof expectedTokenTexts>[0] {
  return { model: 'guide', version: 'v1', adapter: '', prompt: name, seed: 0 };
}

function toReplica(metadata: ReplicaMetadata, texts: readonly string[]): HeldReplica {
  return { origin: asId('r'), metadata, texts: [...texts], reason: undefined };
}

function withReplicaLag(held: HeldReplica): HeldReplica {
  return {
    ...held,
    texts: held.texts.slice(0, Math.max(0, held.texts.length - REPLICA_LAG_TOKENS)),
  };
}
