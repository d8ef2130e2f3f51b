import type { KvCacheCopy, ServerId } from '@mimosamill/core';
import type { ShellAttempt } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** Copies of one stream's run that are made on demand. */
export interface StreamCopies {
  /** Brings a copy up to date, or has a new one made; undefined if the engine made none. */
  readonly make: (
    attempt: ShellAttempt,
    renewed: KvCacheCopy | undefined,
  ) => Promise<KvCacheCopy | undefined>;
  /** Frees a copy; engines free those that they make by themselves when the run has ended. */
  readonly drop: (attempt: ShellAttempt) => void;
}

const NONE_EXCLUDED: ReadonlySet<ServerId> = new Set();

export function createStreamCopies(ports: ForwardPorts, request: ForwardRequest): StreamCopies {
  const { fleet, decisions } = ports;
  const { requestId, promptTokens } = request.head;

  function findKeeper(attempt: ShellAttempt): ServerId | undefined {
    const { service } = request;
    if (service.engine === undefined) return undefined;
    const input = {
      service: service.name,
      capacity: service.engine,
      promptTokens,
      excluded: NONE_EXCLUDED,
    };
    const nowMs = ports.clock.monotonicMs();
    return ports.placer.placeCopy(attempt.engineId, input, nowMs, ports.random);
  }

  function setCopy(attempt: ShellAttempt, copy: KvCacheCopy | undefined): void {
    if (attempt.copy !== undefined) fleet.onCopy(attempt.copy.engineId, promptTokens, -1);
    if (copy !== undefined) fleet.onCopy(copy.engineId, promptTokens, 1);
    attempt.copy = copy;
    ports.news.touchLater();
  }

  async function make(
    attempt: ShellAttempt,
    renewed: KvCacheCopy | undefined,
  ): Promise<KvCacheCopy | undefined> {
    const keeperId = renewed?.engineId ?? findKeeper(attempt);
    const keeper = keeperId === undefined ? undefined : fleet.get(keeperId);
    if (keeperId === undefined || keeper === undefined) return undefined;
    const outcome = await ports.copies.make(
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
    make,
    drop: ({ copy, engineAddress }) => {
      if (copy?.isOnDemand !== true) return;
      void ports.copies.drop(engineAddress, copy.id);
    },
  };
}
