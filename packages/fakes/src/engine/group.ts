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
  readonly cut: (engineId: EngineId) => void;
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
  readonly networkMs: number;
}

interface Reader {
  readonly attemptNo: AttemptNo;
  readonly onEvent: (event: AttemptEvent) => void;
  isClosed: boolean;
}

interface Member {
  readonly engineId: EngineId;
  model: EngineModel;
  state: 'up' | 'down' | 'paused';
  isCut: boolean;
  isStepping: boolean;
  readonly readers: Map<RequestId, Reader>;
  /** Work that waits for the end of a pause or a cut. */
  waiting: (() => void)[];
}

/** Engines are addressed by their ids. */
export function createEngineGroup(options: EngineGroupOptions): EngineGroup {
  const { clock, hash } = options;
  const members = new Map(options.engineIds.map((id): [EngineId, Member] => [id, create(id)]));

  function createModel(engineId: EngineId): EngineModel {
    return createEngineModel({ ...DEFAULT_ENGINE_MODEL, ...options.settings, engineId }, hash);
  }

  function create(engineId: EngineId): Member {
    return {
      engineId,
      model: createModel(engineId),
      state: 'up',
      isCut: false,
      isStepping: false,
      readers: new Map(),
      waiting: [],
    };
  }

  function find(engineId: string): Member {
    const member = members.get(engineId as EngineId);
    if (member === undefined) throw new Error(`no engine ${engineId}`);
    return member;
  }

  /** Runs at the engine after the network delay, or once it can be reached again. */
  function reach(member: Member, fn: () => void, onRefused: () => void): void {
    clock.runAfter(options.networkMs, () => {
      if (member.isCut || member.state === 'paused') member.waiting.push(fn);
      else if (member.state === 'down') onRefused();
      else fn();
    });
  }

  /** Reports to a reader after the network delay, or once the cut has healed. */
  function report(member: Member, reader: Reader, event: AttemptEvent): void {
    const deliver = (): void => {
      if (!reader.isClosed) reader.onEvent(event);
    };
    if (member.isCut) member.waiting.push(deliver);
    else clock.runAfter(options.networkMs, deliver);
  }

  function schedule(member: Member): void {
    const delayMs = member.model.nextStepMs();
    if (member.isStepping || member.state !== 'up' || delayMs === undefined) return;
    const { model } = member;
    member.isStepping = true;
    clock.runAfter(delayMs, () => {
      if (member.model !== model) return;
      member.isStepping = false;
      if (member.state !== 'up') return;
      model.step(clock.nowMs(), options.random).forEach((output) => emit(member, output));
      schedule(member);
    });
  }

  function emit(member: Member, output: EngineOutput): void {
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
    member: Member,
    reader: Reader,
    requestId: RequestId,
    index: number,
    text: string,
  ): void {
    const { attemptNo } = reader;
    report(member, reader, { kind: 'token', requestId, attemptNo, index, text });
  }

  function sendFinish(member: Member, reader: Reader): void {
    report(member, reader, { kind: 'finish', attemptNo: reader.attemptNo, reason: 'length' });
  }

  function sendReset(member: Member, reader: Reader): void {
    const { attemptNo } = reader;
    report(member, reader, { kind: 'lost', attemptNo, cause: 'reset', message: 'reset' });
  }

  function open(
    member: Member,
    attemptNo: AttemptNo,
    onEvent: (event: AttemptEvent) => void,
    begin: (reader: Reader) => void,
  ): AttemptHandle {
    const reader: Reader = { attemptNo, onEvent, isClosed: false };
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
      const known = member.model.known(requestId);
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
    member.waiting = [];
    member.readers.forEach((reader) => sendReset(member, reader));
    member.readers.clear();
  }

  function release(member: Member): void {
    if (member.isCut || member.state !== 'up') return;
    const { waiting } = member;
    member.waiting = [];
    waiting.forEach((fn) => fn());
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
      member.isStepping = false;
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
    cut: (engineId) => {
      find(engineId).isCut = true;
    },
    heal: (engineId) => {
      const member = find(engineId);
      member.isCut = false;
      release(member);
    },
    isDown: (engineId) => find(engineId).state === 'down',
    model: (engineId) => find(engineId).model,
  };
}
