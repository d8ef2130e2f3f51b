import type { FinishReason, HeldReplica, ReplicaStart, RequestId } from '@mimosamill/core';
import type { ReplicatedStream, StreamReplicas } from './ports';
import type { Replicas } from './replica';

/** The streams' view of the replicas. */
export interface ReplicatedStreams extends StreamReplicas {
  /** Without a reason the answer is incomplete, and its replica is dropped at once. */
  readonly onEnd: (requestId: RequestId, reason?: FinishReason) => void;
  /**
   * With the hash of the caller's body, the router that served the stream is made to give it up
   * first; otherwise it is told when the stream starts here.
   */
  readonly find: (requestId: RequestId, bodyHash?: string) => Promise<ReplicatedStream | undefined>;
}

/** Bound on streams that were found here and not started yet. */
const MAX_FOUND = 1_024;

export function createReplicatedStreams(replicas: Replicas): ReplicatedStreams {
  const running = new Set<RequestId>();
  const found = new Map<RequestId, { replica: HeldReplica; isTakenOver: boolean }>();

  function remember(replica: HeldReplica, isTakenOver: boolean): void {
    const [oldest] = found.keys();
    if (found.size >= MAX_FOUND && oldest !== undefined) found.delete(oldest);
    found.set(replica.start.requestId, { replica, isTakenOver });
  }

  function begin(start: Omit<ReplicaStart, 'adoptionCount'>, texts: readonly string[]): void {
    const left = found.get(start.requestId);
    found.delete(start.requestId);
    running.add(start.requestId);
    const adoptionCount = left === undefined ? 0 : left.replica.start.adoptionCount + 1;
    if (left?.isTakenOver === false) void replicas.takeOver(left.replica);
    replicas.onStart({ ...start, adoptionCount }, texts);
  }

  return {
    onStart: (requestId, { bodyHash, engineId, address, version, attemptNo, texts }) => {
      const place = { engineId, engineAddress: address, version, attemptNo };
      const start = { requestId, bodyHash, ...place };
      if (running.has(requestId)) replicas.onAttempt(start);
      else begin(start, texts);
    },
    onToken: replicas.onToken,
    onEnd: (requestId, reason) => {
      running.delete(requestId);
      replicas.onEnd(requestId, reason);
    },
    find: async (requestId, bodyHash) => {
      const outcome = await replicas.find(requestId);
      if (outcome.kind === 'absent') return undefined;
      const isOwner = outcome.replica.start.bodyHash === bodyHash;
      const replica = isOwner ? await replicas.takeOver(outcome.replica) : outcome.replica;
      remember(replica, isOwner);
      const { start, texts, reason } = replica;
      return {
        bodyHash: start.bodyHash,
        engineId: start.engineId,
        address: start.engineAddress,
        version: start.version,
        attemptNo: start.attemptNo,
        texts,
        hasFinished: reason !== undefined,
      };
    },
  };
}
