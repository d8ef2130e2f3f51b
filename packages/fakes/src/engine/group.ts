import { assertNever } from '@mimosamill/core';
import { createEngineModel, DEFAULT_ENGINE_MODEL } from './model';
import type {
  AttemptHandle,
  AttemptEvent,
  Clock,
  EngineClient,
  GenerateRequest,
} from '@mimosamill/adapters';
import type { AttemptNo, EngineId, Hash32, RequestId } from '@mimosamill/core';
import type { EngineModel, EngineModelSettings, EngineOutput } from './model';

/**
 * Simulated engines in this process. Callers reach them through the interface of the engine client,
 * and tests make them fail.
 */
export interface EngineGroup {
  readonly client: Pick<EngineClient, 'generate' | 'attach' | 'cancel'>;
  /** Resets open streams and refuses new ones until `restart`, which starts without any requests. */
  readonly kill: (engineId: EngineId) => void;
  readonly restart: (engineId: EngineId) => void;
  /** Stops the engine; calls that arrive meanwhile are held until `resume`. */
  readonly pause: (engineId: EngineId) => void;
  readonly resume: (engineId: EngineId) => void;
  /** Holds back calls and events in both directions until `heal`, while the engine runs on. */
  readonly partition: (engineId: EngineId) => void;
  readonly heal: (engineId: EngineId) => void;
  readonly isDown: (engineId: EngineId) => boolean;
  readonly model: (engineId: EngineId) => EngineModel;
}

export interface EngineGroupOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly hash: Hash32;
  readonly engineIds: readonly EngineId[];
  readonly settings: Pick<EngineModelSettings, 'loaded'> & Partial<EngineModelSettings>;
  /** Network delay in one direction. */
  readonly networkDelayMs: number;
}

interface StreamReader {
  readonly attemptNo: AttemptNo;
  readonly onEvent: (event: AttemptEvent) => void;
  isClosed: boolean;
}

interface SimulatedEngine {
  readonly engineId: EngineId;
  model: EngineModel;
  state: 'up' | 'down' | 'paused';
  isPartitioned: boolean;
  isStepScheduled: boolean;
  readonly readers: Map<RequestId, StreamReader>;
  /** Calls and events held back until the pause or the partition ends. */
  deferred: (() => void)[];
}

/** The id of an engine serves as its address. */
export function createEngineGroup(options: EngineGroupOptions): EngineGroup {
  const { clock, hash } = options;
  const engines = new Map(
    options.engineIds.map((id): [EngineId, SimulatedEngine] => [id, createEngine(id)]),
  );

  function createModel(engineId: EngineId): EngineModel {
    return createEngineModel({ ...DEFAULT_ENGINE_MODEL, ...options.settings, engineId }, hash);
  }

  function createEngine(engineId: EngineId): SimulatedEngine {
    return {
      engineId,
      model: createModel(engineId),
      state: 'up',
      isPartitioned: false,
      isStepScheduled: false,
      readers: new Map(),
      deferred: [],
    };
  }

  function getEngine(engineId: string): SimulatedEngine {
    const engine = engines.get(engineId as EngineId);
    if (engine === undefined) throw new Error(`no engine ${engineId} in this group`);
    return engine;
  }

  /** Runs a call at the engine after the network delay, or once a pause or partition ends. */
  function callEngine(engine: SimulatedEngine, fn: () => void, onRefused: () => void): void {
    clock.runAfter(options.networkDelayMs, () => {
      if (engine.isPartitioned || engine.state === 'paused') engine.deferred.push(fn);
      else if (engine.state === 'down') onRefused();
      else fn();
    });
  }

  /** Sends an event to a reader after the network delay, or once a partition ends. */
  function sendEvent(engine: SimulatedEngine, reader: StreamReader, event: AttemptEvent): void {
    const deliver = (): void => {
      if (!reader.isClosed) reader.onEvent(event);
    };
    if (engine.isPartitioned) engine.deferred.push(deliver);
    else clock.runAfter(options.networkDelayMs, deliver);
  }

  function scheduleStep(engine: SimulatedEngine): void {
    const delayMs = engine.model.nextStepMs();
    if (engine.isStepScheduled || engine.state !== 'up' || delayMs === undefined) return;
    const { model } = engine;
    engine.isStepScheduled = true;
    clock.runAfter(delayMs, () => {
      if (engine.model !== model) return;
      engine.isStepScheduled = false;
      if (engine.state !== 'up') return;
      model.step(clock.nowMs(), options.random).forEach((output) => sendOutput(engine, output));
      scheduleStep(engine);
    });
  }

  function sendOutput(engine: SimulatedEngine, output: EngineOutput): void {
    const { requestId } = output;
    const reader = engine.readers.get(requestId);
    switch (output.kind) {
      case 'token':
        if (reader !== undefined) sendToken(engine, reader, requestId, output.index, output.text);
        break;
      case 'finish':
        if (reader !== undefined) sendFinish(engine, reader);
        engine.readers.delete(requestId);
        break;
      case 'failed':
        if (reader !== undefined) sendReset(engine, reader);
        engine.readers.delete(requestId);
        break;
      case 'crash':
        kill(engine.engineId);
        break;
      default:
        assertNever(output);
    }
  }

  function sendToken(
    engine: SimulatedEngine,
    reader: StreamReader,
    requestId: RequestId,
    index: number,
    text: string,
  ): void {
    const { attemptNo } = reader;
    sendEvent(engine, reader, { kind: 'token', requestId, attemptNo, index, text });
  }

  function sendFinish(engine: SimulatedEngine, reader: StreamReader): void {
    sendEvent(engine, reader, { kind: 'finish', attemptNo: reader.attemptNo, reason: 'length' });
  }

  function sendReset(engine: SimulatedEngine, reader: StreamReader): void {
    const { attemptNo } = reader;
    sendEvent(engine, reader, {
      kind: 'lost',
      attemptNo,
      cause: 'reset',
      message: 'connection reset',
    });
  }

  function openStream(
    engine: SimulatedEngine,
    attemptNo: AttemptNo,
    onEvent: (event: AttemptEvent) => void,
    onReached: (reader: StreamReader) => void,
  ): AttemptHandle {
    const reader: StreamReader = { attemptNo, onEvent, isClosed: false };
    const refuse = (): void =>
      onEvent({ kind: 'lost', attemptNo, cause: 'connect_failed', message: 'connection refused' });
    callEngine(
      engine,
      () => {
        if (!reader.isClosed) onReached(reader);
      },
      () => {
        if (!reader.isClosed) refuse();
      },
    );
    return {
      close: () => {
        reader.isClosed = true;
      },
    };
  }

  function generate(
    address: string,
    request: GenerateRequest,
    onEvent: (event: AttemptEvent) => void,
  ): AttemptHandle {
    const engine = getEngine(address);
    const { attemptNo, requestId } = request;
    return openStream(engine, attemptNo, onEvent, (reader) => {
      const outcome = engine.model.submit(request, clock.nowMs());
      if (outcome.kind === 'refused') {
        const { cause } = outcome;
        sendEvent(engine, reader, { kind: 'refused', attemptNo, cause, message: cause });
        return;
      }
      engine.readers.set(requestId, reader);
      scheduleStep(engine);
    });
  }

  function attach(
    address: string,
    requestId: RequestId,
    attemptNo: AttemptNo,
    fromIndex: number,
    onEvent: (event: AttemptEvent) => void,
  ): AttemptHandle {
    const engine = getEngine(address);
    return openStream(engine, attemptNo, onEvent, (reader) => {
      const progress = engine.model.findRequest(requestId);
      if (progress === undefined || fromIndex > progress.tokens.length) {
        const message = 'unknown request';
        sendEvent(engine, reader, { kind: 'refused', attemptNo, cause: 'unknown', message });
        return;
      }
      engine.readers.set(requestId, reader);
      progress.tokens.slice(fromIndex).forEach((text, offset) => {
        sendToken(engine, reader, requestId, fromIndex + offset, text);
      });
      if (progress.state === 'finished') sendFinish(engine, reader);
    });
  }

  function kill(engineId: EngineId): void {
    const engine = getEngine(engineId);
    engine.state = 'down';
    engine.deferred = [];
    engine.readers.forEach((reader) => sendReset(engine, reader));
    engine.readers.clear();
  }

  function runDeferred(engine: SimulatedEngine): void {
    if (engine.isPartitioned || engine.state !== 'up') return;
    const { deferred } = engine;
    engine.deferred = [];
    deferred.forEach((fn) => fn());
    scheduleStep(engine);
  }

  return {
    client: {
      generate,
      attach,
      cancel: (address, requestId, attemptNo) => {
        const engine = getEngine(address);
        callEngine(
          engine,
          () => engine.model.cancel(requestId, attemptNo),
          () => undefined,
        );
        return Promise.resolve();
      },
    },
    kill,
    restart: (engineId) => {
      const engine = getEngine(engineId);
      if (engine.state !== 'down') return;
      engine.model = createModel(engineId);
      engine.isStepScheduled = false;
      engine.state = 'up';
    },
    pause: (engineId) => {
      const engine = getEngine(engineId);
      if (engine.state === 'up') engine.state = 'paused';
    },
    resume: (engineId) => {
      const engine = getEngine(engineId);
      if (engine.state !== 'paused') return;
      engine.state = 'up';
      runDeferred(engine);
    },
    partition: (engineId) => {
      getEngine(engineId).isPartitioned = true;
    },
    heal: (engineId) => {
      const engine = getEngine(engineId);
      engine.isPartitioned = false;
      runDeferred(engine);
    },
    isDown: (engineId) => getEngine(engineId).state === 'down',
    model: (engineId) => getEngine(engineId).model,
  };
}
