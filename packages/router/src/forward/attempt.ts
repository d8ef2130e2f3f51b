import { createBodyBuffer } from '@mimosamill/adapters';
import type { AnswerTimer } from './answer-judge';
import type { BodyBuffer, Exchange, ResponseHead } from '@mimosamill/adapters';
import type {
  ForwardServer,
  PromptSize,
  RequestId,
  ResponseBuffer,
  KvCacheCopy,
  ServerState,
  ServerId,
  StreamPlacement,
} from '@mimosamill/core';

/** An error response with a larger body counts as garbled. */
const ERROR_BODY_MAX_BYTES = 65_536;

/** Engine that was chosen for an attempt. */
export type PlacedEngine = Extract<StreamPlacement, { kind: 'ok' }>;

/** State of an attempt's exchange with its engine; the core decides what follows from it. */
export interface StreamAttempt {
  readonly attemptNo: number;
  readonly engineId: ServerId;
  readonly engineAddress: string;
  /** Entry of the engine when the attempt was sent. */
  readonly engine: ForwardServer;
  /** Latest copy of the KV cache. */
  kvCopy: KvCacheCopy | undefined;
  readonly sentAtMs: number;
  /** The engine had no other prefill of this router's, so the time to the first event measures one. */
  readonly isOnlyPrefill: boolean;
  readonly isResumedFromCopy: boolean;
  /** The engine runs the whole stream, not the rest of one. */
  readonly isFromStart: boolean;
  /** KV cache that the run is expected to need on the engine. */
  readonly memoryTokens: number;
  /** No router was known to have a prefill there, and few streams ran. */
  readonly wasEngineIdle: boolean;
  /** Size of the prompt among those of its service. */
  readonly promptSize: PromptSize;
  exchange: Exchange | undefined;
  cancelConnectTimeout: () => void;
  /** Undefined until a response has begun that answers the request. */
  head: ResponseHead | undefined;
  isErrorResponse: boolean;
  readonly errorBody: BodyBuffer;
  /** Holds the body of an error, or the bytes of an event that is not complete yet. */
  readonly buffer: ResponseBuffer;
  /** Events since the pace was last judged. */
  eventCount: number;
  /** Judges the time to the first event, then the pace of the events. */
  timer: AnswerTimer;
  hasEvents: boolean;
  firstEventAtMs: number | undefined;
  /** The engine has gone on after its first events, so the request did not crash it. */
  hasSurvived: boolean;
  isOver: boolean;
}

/** Creates an attempt that is about to be sent to an engine. */
export function createStreamAttempt(
  attemptNo: number,
  requestId: RequestId,
  engine: ServerState,
  copyHolder: ServerState | undefined,
  isResumedFromCopy: boolean,
  isFromStart: boolean,
  memoryTokens: number,
  placed: PlacedEngine,
  timer: AnswerTimer,
  buffer: ResponseBuffer,
  nowMs: number,
): StreamAttempt {
  return {
    attemptNo,
    engineId: engine.server.serverId,
    engineAddress: engine.server.address,
    engine: engine.server,
    kvCopy: copyHolder === undefined ? undefined : continuousCopyOf(copyHolder, requestId),
    sentAtMs: nowMs,
    isOnlyPrefill: engine.prefills.size === 0,
    isResumedFromCopy,
    isFromStart,
    memoryTokens,
    wasEngineIdle: placed.isLightlyLoaded,
    promptSize: placed.promptSize,
    exchange: undefined,
    cancelConnectTimeout: () => undefined,
    head: undefined,
    isErrorResponse: false,
    errorBody: createBodyBuffer(undefined, ERROR_BODY_MAX_BYTES),
    buffer,
    eventCount: 0,
    timer,
    hasEvents: false,
    firstEventAtMs: undefined,
    hasSurvived: false,
    isOver: false,
  };
}

/** Engines identify a copy that they make continuously by its holder and the request. */
function continuousCopyOf({ server }: ServerState, requestId: RequestId): KvCacheCopy {
  return { engineId: server.serverId, address: server.address, id: requestId, isOnDemand: false };
}
