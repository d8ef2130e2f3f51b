import { isProbablyBusy, isRestart } from '@mimosamill/core';
import { createRepeatableRandom } from './repeatable-random';
import type {
  KvCacheCopy,
  OutputBounds,
  ReplacementAttempt,
  RouteName,
  ServerId,
  ServiceName,
} from '@mimosamill/core';
import type { PlacedEngine, StreamAttempt } from './attempt';
import type { ForwardPorts, ForwardRequest } from './ports';

/** What an attempt needs of its engine. */
export interface WantedEngine {
  readonly isFailover: boolean;
  readonly excluded: ReadonlySet<ServerId>;
  readonly resumeFrom: KvCacheCopy | undefined;
  readonly lastEventId: number | undefined;
}

export type EngineChoice =
  | { readonly kind: 'ok'; readonly placed: PlacedEngine }
  | {
      readonly kind: 'none';
      readonly reason: 'no_engine' | 'no_time';
      readonly message: string;
    };

/** What the choice of an engine needs to know of its stream. */
export interface StreamProgress {
  readonly currentAttempt: () => StreamAttempt | undefined;
  /** Whether the caller has the response head. */
  readonly hasBegun: () => boolean;
}

/** Chooses the engines of one stream. */
export interface StreamEngineChoice {
  /** Chooses the engine of an attempt that is about to be sent. */
  readonly choose: (wanted: WantedEngine, nowMs: number) => EngineChoice;
  /** Whether the stream is to leave an engine that sends nothing for another one. */
  readonly canPlaceElsewhere: (replacement: ReplacementAttempt, nowMs: number) => boolean;
  /** KV cache that a run is expected to need, in tokens. */
  readonly memoryTokensOf: (isFromCopy: boolean) => number;
}

/** Counted part of the expected prefill time: part of the prompt may be in the engine's cache. */
const PREFILL_TIME_MIN_RATIO = 0.8;

/**
 * Tokens that an answer is expected to add to the KV cache; 0 where engines do not state their pace. Those
 * that do share their hosts with others, and crash when the requests that they hold exceed their memory.
 */
export function expectedOutputTokens(
  { fleet, outputSizes }: Pick<ForwardPorts, 'fleet' | 'outputSizes'>,
  route: RouteName,
  service: ServiceName,
  bounds: OutputBounds,
): number {
  return fleet.pace.isStated(service) ? outputSizes.expectedTokens(route, bounds) : 0;
}

export function createStreamEngineChoice(
  ports: ForwardPorts,
  request: ForwardRequest,
  progress: StreamProgress,
): StreamEngineChoice {
  const { fleet } = ports;
  const { head, route, service } = request;
  const { promptTokens } = head;
  const placementRandom = createRepeatableRandom(ports.random);
  /** An engine was chosen before; a later choice may follow a wait for admission. */
  let hasChosen = false;

  /** Only chooses, and changes nothing. */
  function chooseEngine(wanted: WantedEngine, nowMs: number): EngineChoice {
    const random = placementRandom.next;
    const capacity = service.engine;
    if (capacity === undefined) {
      const message = 'the service has no engines configured';
      return { kind: 'none', reason: 'no_engine', message };
    }
    const input = {
      service: service.name,
      capacity,
      promptTokens,
      outputTokens: expectedOutputTokens(ports, route.name, service.name, head),
      isFailover: wanted.isFailover,
      isRecheck: hasChosen,
      limitDraw: request.limitDraw,
      excluded: new Set([
        ...wanted.excluded,
        ...ports.versionMoves.excludedServers(service.name, random()),
      ]),
      excludedCopyHolders: ports.versionMoves.excludedCopyHolders(service.name),
    };
    const placement = ports.placer.placeStream(
      wanted.resumeFrom === undefined
        ? input
        : { ...input, fixedEngineId: wanted.resumeFrom.engineId },
      nowMs,
      random,
    );
    if (placement.kind === 'none') {
      const message = `no engine can take the stream: ${placement.reason}`;
      return { kind: 'none', reason: 'no_engine', message };
    }
    const overrunMs = deadlineOverrunMs(wanted, placement, nowMs);
    if (overrunMs <= 0) return { kind: 'ok', placed: placement };
    const message = `the stream would end about ${Math.round(overrunMs)} ms after its deadline`;
    return { kind: 'none', reason: 'no_time', message };
  }

  function canPlaceElsewhere(replacement: ReplacementAttempt, nowMs: number): boolean {
    if (isGone(replacement.silentEngineId)) return true;
    // The events of the present engine wait at this host's link, as those of another one would.
    if (ports.connections.isOwnTrouble() && !isDoubted(replacement.silentEngineId, nowMs)) {
      return false;
    }
    const wanted = { ...replacement, isFailover: true };
    placementRandom.reset();
    const canPlace =
      isWorthMoving(chooseEngine(wanted, nowMs), replacement.silentEngineId, nowMs) ||
      (wanted.resumeFrom !== undefined &&
        chooseEngine({ ...wanted, resumeFrom: undefined }, nowMs).kind === 'ok');
    // The attempt that follows chooses by the same numbers.
    if (canPlace) placementRandom.rewind();
    else placementRandom.reset();
    return canPlace;
  }

  /**
   * A stream without an event leaves an engine that is only busy for one that has little to do. Where
   * servers do not state how long work takes, such an engine may also be very slow, so it is left.
   */
  function isWorthMoving(choice: EngineChoice, silentEngineId: ServerId, nowMs: number): boolean {
    if (choice.kind !== 'ok') return false;
    const isPaceStated = fleet.pace.isStated(service.name);
    const current = progress.currentAttempt();
    if (!isPaceStated || current?.hasEvents === true || choice.placed.isLightlyLoaded) return true;
    return !isProbablyBusy({
      isDoubted: isDoubted(silentEngineId, nowMs),
      receivedAgeMs: nowMs - (fleet.get(silentEngineId)?.lastReceivedAtMs ?? -Infinity),
      peersRunning: ports.placer.peersRunning(silentEngineId, nowMs),
      waitedMs: nowMs - (current?.sentAtMs ?? nowMs),
      targetMs: route.targetMs,
    });
  }

  /** Whether the engine or its failure domain is taken for lost. */
  function isDoubted(engineId: ServerId, nowMs: number): boolean {
    const state = fleet.get(engineId);
    return state === undefined || state.lostAtMs !== undefined || fleet.isSuspected(state, nowMs);
  }

  /** Whether the process that ran the current attempt has ended, and its connection with it. */
  function isGone(engineId: ServerId): boolean {
    const state = fleet.get(engineId);
    if (state === undefined || state.isReplaced) return true;
    const current = progress.currentAttempt();
    return current !== undefined && isRestart(current.engine, state.server);
  }

  /**
   * Time by which the stream would overrun its deadline; a positive value refuses the stream. The time
   * from the first event to the end is an estimate. On an engine with little to do the pace of the
   * fastest stream counts: only what cannot end there at all is refused, before its prompt is read.
   */
  function deadlineOverrunMs(wanted: WantedEngine, placed: PlacedEngine, nowMs: number): number {
    // Resuming from a KV cache copy needs no prefill. A stream that has begun can't be refused any
    // more, and its caller can use each further event.
    if (wanted.resumeFrom !== undefined || progress.hasBegun()) return 0;
    const pace = placed.isLightlyLoaded ? 'fastest' : 'typical';
    const remainingMs = ports.streamDurations.minRemainingMs(route.name, wanted.lastEventId, pace);
    const expectedEndAtMs =
      nowMs + placed.expectedFirstEventMs * PREFILL_TIME_MIN_RATIO + remainingMs;
    return expectedEndAtMs - request.deadlineAtMs;
  }

  return {
    choose: (wanted, nowMs) => {
      const choice = chooseEngine(wanted, nowMs);
      placementRandom.reset();
      hasChosen = true;
      return choice;
    },
    canPlaceElsewhere,
    /** Where engines do not state their pace, a run that resumes from a copy is not counted. */
    memoryTokensOf: (isFromCopy) => {
      const outputTokens = expectedOutputTokens(ports, route.name, service.name, head);
      if (isFromCopy && outputTokens === 0) return 0;
      return promptTokens + outputTokens;
    },
  };
}
