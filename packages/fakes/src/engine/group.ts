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

/** In-process engines on any clock, behind the client's interface, that can be broken. */
export interface EngineGroup {
  readonly client: Pick<EngineClient, 'generate' | 'attach' | 'cancel'>;
  /** Connections are reset and refused until the engine is restarted, empty. */
  readonly kill: (engineId: EngineId) => void;
  readonly restart: (engineId: EngineId) => void;
  /** Nothing runs; what arrives meanwhile waits. */
  readonly pause: (engineId: EngineId) => void;
  readonly resume: (engineId: EngineId) => void;
  /** Nothing gets through in either direction, while the engine goes on. */
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
  /** One way. */
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
  /** Work that waits for the end of a pause or a cut. */
  deferred: (() => void)[];
}

/** Engines are addressed by their ids. */
export function createEngineGroup(options: EngineGroupOptions): EngineGroup {
  const { clock, hash } = options;
  const members = new Map(
    options.engineIds.map((id): [EngineId, SimulatedEngine] => [id, create(id)]),
  );

  function createModel(engineId: EngineId): EngineModel {
    return createEngineModel({ ...DEFAULT_ENGINE_MODEL, ...options.settings, engineId }, hash);
  }

  function create(engineId: EngineId): SimulatedEngine {
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

  function find(engineId: string): SimulatedEngine {
    const member = members.get(engineId as EngineId);
    if (member === undefined) throw new Error(`no engine ${engineId}`);
    return member;
  }

  /** Runs at the engine after the network delay, or once it can be reached again. */
  function reach(member: SimulatedEngine, fn: () => void, onRefused: () => void): void {
    clock.runAfter(options.networkDelayMs, () => {
      if (member.isPartitioned || member.state === 'paused') member.deferred.push(fn);
      else if (member.state === 'down') onRefused();
      else fn();
    });
  }

  /** Reports to a reader after the network delay, or once the cut has healed. */
  function report(member: SimulatedEngine, reader: StreamReader, event: AttemptEvent): void {
    const deliver = (): void => {
      if (!reader.isClosed) reader.onEvent(event);
    };
    if (member.isPartitioned) member.deferred.push(deliver);
    else clock.runAfter(options.networkDelayMs, deliver);
  }

  function schedule(member: SimulatedEngine): void {
    const delayMs = member.model.nextStepMs();
    if (member.isStepScheduled || member.state !== 'up' || delayMs === undefined) return;
    const { model } = member;
    member.isStepScheduled = true;
    clock.runAfter(delayMs, () => {
      if (member.model !== model) return;
      member.isStepScheduled = false;
      if (member.state !== 'up') return;
      model.step(clock.nowMs(), options.random).forEach((output) => emit(member, output));
      schedule(member);
    });
  }

  function emit(member: SimulatedEngine, output: EngineOutput): void {
    const { requestId } = output;
    const reader = member.readers.get(requestId);
    switch (output.kind) {
      case 'token':
        if (reader !== undefined) sendToken(member, reader, requestId, output.index, output.text);
        break;
      case 'finish':
        if (reader !== undefined) sendFinish(member, reader);
        member.readers.delete(requestId);
        break;
      case 'failed':
        if (reader !== undefined) sendReset(member, reader);
        member.readers.delete(requestId);
        break;
      case 'crash':
        kill(member.engineId);
        break;
      default:
        assertNever(output);
    }
  }

  function sendToken(
    member: SimulatedEngine,
    reader: StreamReader,
    requestId: RequestId,
    index: number,
    text: string,
  ): void {
    const { attemptNo } = reader;
    report(member, reader, { kind: 'token', requestId, attemptNo, index, text });
  }

  function sendFinish(member: SimulatedEngine, reader: StreamReader): void {
    report(member, reader, { kind: 'finish', attemptNo: reader.attemptNo, reason: 'length' });
  }

  function sendReset(member: SimulatedEngine, reader: StreamReader): void {
    const { attemptNo } = reader;
    report(member, reader, { kind: 'lost', attemptNo, cause: 'reset', message: 'reset' });
  }

  function open(
    member: SimulatedEngine,
    attemptNo: AttemptNo,
    onEvent: (event: AttemptEvent) => void,
    begin: (reader: StreamReader) => void,
  ): AttemptHandle {
    const reader: StreamReader = { attemptNo, onEvent, isClosed: false };
    const refuse = (): void =>
      onEvent({ kind: 'lost', attemptNo, cause: 'connect_failed', message: 'refused' });
    reach(
      member,
      () => {
        if (!reader.isClosed) begin(reader);
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
    const member = find(address);
    const { attemptNo, requestId } = request;
    return open(member, attemptNo, onEvent, (reader) => {
      const outcome = member.model.submit(request, clock.nowMs());
      if (outcome.kind === 'refused') {
        const { cause } = outcome;
        report(member, reader, { kind: 'refused', attemptNo, cause, message: cause });
        return;
      }
      member.readers.set(requestId, reader);
      schedule(member);
    });
  }

  function attach(
    address: string,
    requestId: RequestId,
    attemptNo: AttemptNo,
    fromIndex: number,
    onEvent: (event: AttemptEvent) => void,
  ): AttemptHandle {
    const member = find(address);
    return open(member, attemptNo, onEvent, (reader) => {
      const known = member.model.findRequest(requestId);
      if (known === undefined || fromIndex > known.tokens.length) {
        const message = 'unknown request';
        report(member, reader, { kind: 'refused', attemptNo, cause: 'unknown', message });
        return;
      }
      member.readers.set(requestId, reader);
      known.tokens.slice(fromIndex).forEach((text, offset) => {
        sendToken(member, reader, requestId, fromIndex + offset, text);
      });
      if (known.state === 'finished') sendFinish(member, reader);
    });
  }

  function kill(engineId: EngineId): void {
    const member = find(engineId);
    member.state = 'down';
    member.deferred = [];
    member.readers.forEach((reader) => sendReset(member, reader));
    member.readers.clear();
  }

  function release(member: SimulatedEngine): void {
    if (member.isPartitioned || member.state !== 'up') return;
    const { deferred } = member;
    member.deferred = [];
    deferred.forEach((fn) => fn());
    schedule(member);
  }

  return {
    client: {
      generate,
      attach,
      cancel: (address, requestId, attemptNo) => {
        const member = find(address);
        reach(
          member,
          () => member.model.cancel(requestId, attemptNo),
          () => undefined,
        );
        return Promise.resolve();
      },
    },
    kill,
    restart: (engineId) => {
      const member = find(engineId);
      if (member.state !== 'down') return;
      member.model = createModel(engineId);
      member.isStepScheduled = false;
      member.state = 'up';
    },
    pause: (engineId) => {
      const member = find(engineId);
      if (member.state === 'up') member.state = 'paused';
    },
    resume: (engineId) => {
      const member = find(engineId);
      if (member.state !== 'paused') return;
      member.state = 'up';
      release(member);
    },
    partition: (engineId) => {
      find(engineId).isPartitioned = true;
    },
    heal: (engineId) => {
      const member = find(engineId);
      member.isPartitioned = false;
      release(member);
    },
    isDown: (engineId) => find(engineId).state === 'down',
    model: (engineId) => find(engineId).model,
  };
}
