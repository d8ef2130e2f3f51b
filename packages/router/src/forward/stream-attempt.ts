import type { IncomingHttpHeaders } from 'node:http';
import type { Exchange } from '@mimosamill/adapters';
import type { RequestId, KvCacheCopy, ServerState, ServerId } from '@mimosamill/core';

/** An attempt as the shell keeps it. */
export interface StreamAttempt {
  readonly attemptNo: number;
  readonly engineId: ServerId;
  readonly engineAddress: string;
  /** Copy that was made last. */
  kvCopy: KvCacheCopy | undefined;
  readonly sentAtMs: number;
  /** Own prompts that the engine had to read before this one. */
  readonly isOnlyPrefill: boolean;
  readonly isResumedFromCopy: boolean;
  exchange: Exchange | undefined;
  cancelConnectTimeout: () => void;
  status: number;
  headers: IncomingHttpHeaders;
  isErrorResponse: boolean;
  errorBody: Uint8Array[];
  errorBodyBytes: number;
  hasEvents: boolean;
  isOver: boolean;
}

/** An attempt that is about to be sent to an engine. */
export function createStreamAttempt(
  attemptNo: number,
  requestId: RequestId,
  engine: ServerState,
  copyAt: ServerState | undefined,
  isResumedFromCopy: boolean,
  nowMs: number,
): StreamAttempt {
  return {
    attemptNo,
    engineId: engine.server.serverId,
    engineAddress: engine.server.address,
    kvCopy: copyAt === undefined ? undefined : continuousCopyOf(copyAt, requestId),
    sentAtMs: nowMs,
    isOnlyPrefill: engine.prefills.size === 0,
    isResumedFromCopy,
    exchange: undefined,
    cancelConnectTimeout: () => undefined,
    status: 0,
    headers: {},
    isErrorResponse: false,
    errorBody: [],
    errorBodyBytes: 0,
    hasEvents: false,
    isOver: false,
  };
}

/** Engines name a copy that they make by themselves by its keeper and the request. */
function continuousCopyOf({ server }: ServerState, requestId: RequestId): KvCacheCopy {
  return { engineId: server.serverId, address: server.address, id: requestId, isOnDemand: false };
}
