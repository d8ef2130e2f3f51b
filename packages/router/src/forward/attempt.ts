import type { IncomingHttpHeaders } from 'node:http';
import type { Exchange } from '@mimosamill/adapters';
import type { RequestId, KvCacheCopy, ServerState, ServerId } from '@mimosamill/core';

/** An attempt as the shell keeps it. */
export interface ShellAttempt {
  readonly attemptNo: number;
  readonly engineId: ServerId;
  readonly engineAddress: string;
  /** Copy that was made last. */
  copy: KvCacheCopy | undefined;
  readonly sentAtMs: number;
  /** Own prompts that the engine had to read before this one. */
  readonly isReadAlone: boolean;
  readonly isFromCopy: boolean;
  exchange: Exchange | undefined;
  cancelConnect: () => void;
  status: number;
  headers: IncomingHttpHeaders;
  isFailure: boolean;
  failureBody: Uint8Array[];
  failureBytes: number;
  hasEvents: boolean;
  isOver: boolean;
}

/** An attempt that is about to be sent to an engine. */
export function createAttempt(
  attemptNo: number,
  requestId: RequestId,
  engine: ServerState,
  copyAt: ServerState | undefined,
  isFromCopy: boolean,
  nowMs: number,
): ShellAttempt {
  return {
    attemptNo,
    engineId: engine.server.serverId,
    engineAddress: engine.server.address,
    copy: copyAt === undefined ? undefined : copyWhileRunning(copyAt, requestId),
    sentAtMs: nowMs,
    isReadAlone: engine.prefills.size === 0,
    isFromCopy,
    exchange: undefined,
    cancelConnect: () => undefined,
    status: 0,
    headers: {},
    isFailure: false,
    failureBody: [],
    failureBytes: 0,
    hasEvents: false,
    isOver: false,
  };
}

/** Engines name a copy that they make by themselves by its keeper and the request. */
function copyWhileRunning({ server }: ServerState, requestId: RequestId): KvCacheCopy {
  return { engineId: server.serverId, address: server.address, id: requestId, isOnDemand: false };
}
