import type { KvCacheCopy, ServerId } from '@mimosamill/core';
import type { StreamAttempt } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** Copies of a stream's KV cache that the router orders from the engine running the stream. */
export interface StreamKvCopies {
  /** Updates `existingCopy`, or has a new copy made; undefined if the engine made none. */
  readonly create: (
    attempt: StreamAttempt,
    existingCopy: KvCacheCopy | undefined,
  ) => Promise<KvCacheCopy | undefined>;
  /** Frees a copy made on demand; engines free their continuous copies when the stream ends. */
  readonly release: (attempt: StreamAttempt) => void;
}

export function createStreamKvCopies(ports: ForwardPorts, request: ForwardRequest): StreamKvCopies {
  const { fleet, decisions } = ports;
  const { requestId, promptTokens } = request.head;

  function chooseCopyHolder(attempt: StreamAttempt): ServerId | undefined {
    const { service } = request;
    if (service.engine === undefined) return undefined;
    const input = {
      service: service.name,
      capacity: service.engine,
      promptTokens,
      excludedCopyHolders: ports.versionMoves.excludedCopyHolders(service.name),
    };
    const nowMs = ports.clock.monotonicMs();
    return ports.placer.placeCopy(attempt.engineId, input, nowMs, ports.random);
  }

  function setCopy(attempt: StreamAttempt, copy: KvCacheCopy | undefined): void {
    if (attempt.kvCopy !== undefined) fleet.onCopy(attempt.kvCopy.engineId, promptTokens, -1);
    if (copy !== undefined) fleet.onCopy(copy.engineId, promptTokens, 1);
    attempt.kvCopy = copy;
    ports.stateBroadcast.sendWithNext();
  }

  /** Whether the engine wants no calls of this router now. */
  function isPaused(engineId: ServerId): boolean {
    const state = fleet.get(engineId);
    return state !== undefined && fleet.isPaused(state, ports.clock.monotonicMs());
  }

  async function create(
    attempt: StreamAttempt,
    existingCopy: KvCacheCopy | undefined,
  ): Promise<KvCacheCopy | undefined> {
    if (isPaused(attempt.engineId)) return existingCopy;
    const holderId = existingCopy?.engineId ?? chooseCopyHolder(attempt);
    const holder = holderId === undefined ? undefined : fleet.get(holderId);
    if (holderId === undefined || holder === undefined) return undefined;
    const outcome = await ports.kvCopies.create(
      attempt.engineAddress,
      requestId,
      holder.server.address,
    );
    if (attempt.isOver) return undefined;
    const fields = { request: requestId, engine: attempt.engineId, copy_at: holderId };
    if (outcome.kind !== 'ok') {
      decisions.notable('stream.not_copied', { ...fields, reason: outcome.kind });
      setCopy(attempt, undefined);
      return undefined;
    }
    if (fleet.get(holderId)?.leavingSinceMs !== undefined) {
      decisions.notable('stream.not_copied', { ...fields, reason: 'leaving' });
      setCopy(attempt, undefined);
      return undefined;
    }
    if (existingCopy === undefined) decisions.notable('stream.copied', fields);
    const copy: KvCacheCopy = {
      engineId: holderId,
      address: attempt.engineAddress,
      id: outcome.handle,
      isOnDemand: true,
    };
    setCopy(attempt, copy);
    return copy;
  }

  return {
    create,
    release: ({ kvCopy, engineId, engineAddress }) => {
      if (kvCopy?.isOnDemand !== true || isPaused(engineId)) return;
      void ports.kvCopies.release(engineAddress, kvCopy.id);
    },
  };
}
