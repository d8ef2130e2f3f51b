import type { KvCacheCopy, ServerId } from '@mimosamill/core';
import type { StreamAttempt } from './stream-attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** Copies of one stream's run that are made on demand. */
export interface StreamKvCopies {
  /** Brings a copy up to date, or has a new one made; undefined if the engine made none. */
  readonly create: (
    attempt: StreamAttempt,
    renewed: KvCacheCopy | undefined,
  ) => Promise<KvCacheCopy | undefined>;
  /** Frees a copy; engines free those that they make by themselves when the run has ended. */
  readonly release: (attempt: StreamAttempt) => void;
}

const NO_EXCLUDED_SERVERS: ReadonlySet<ServerId> = new Set();

export function createStreamKvCopies(ports: ForwardPorts, request: ForwardRequest): StreamKvCopies {
  const { fleet, decisions } = ports;
  const { requestId, promptTokens } = request.head;

  function findKeeper(attempt: StreamAttempt): ServerId | undefined {
    const { service } = request;
    if (service.engine === undefined) return undefined;
    const input = {
      service: service.name,
      means: service.engine,
      promptTokens,
      excluded: NO_EXCLUDED_SERVERS,
    };
    const nowMs = ports.clock.monotonicMs();
    return ports.placer.placeCopy(attempt.engineId, input, nowMs, ports.random);
  }

  function setCopy(attempt: StreamAttempt, copy: KvCacheCopy | undefined): void {
    if (attempt.kvCopy !== undefined) fleet.onCopy(attempt.kvCopy.engineId, promptTokens, -1);
    if (copy !== undefined) fleet.onCopy(copy.engineId, promptTokens, 1);
    attempt.kvCopy = copy;
    ports.stateBroadcast.sendLater();
  }

  async function create(
    attempt: StreamAttempt,
    renewed: KvCacheCopy | undefined,
  ): Promise<KvCacheCopy | undefined> {
    const keeperId = renewed?.engineId ?? findKeeper(attempt);
    const keeper = keeperId === undefined ? undefined : fleet.get(keeperId);
    if (keeperId === undefined || keeper === undefined) return undefined;
    const outcome = await ports.kvCopies.create(
      attempt.engineAddress,
      requestId,
      keeper.server.address,
    );
    if (attempt.isOver) return undefined;
    const fields = { request: requestId, engine: attempt.engineId, copy_at: keeperId };
    if (outcome.kind !== 'ok') {
      decisions.notable('stream.not_copied', { ...fields, reason: outcome.kind });
      setCopy(attempt, undefined);
      return undefined;
    }
    if (renewed === undefined) decisions.notable('stream.copied', fields);
    const copy: KvCacheCopy = {
      engineId: keeperId,
      address: attempt.engineAddress,
      id: outcome.handle,
      isOnDemand: true,
    };
    setCopy(attempt, copy);
    return copy;
  }

  return {
    create,
    release: ({ kvCopy, engineAddress }) => {
      if (kvCopy?.isOnDemand !== true) return;
      void ports.kvCopies.release(engineAddress, kvCopy.id);
    },
  };
}
