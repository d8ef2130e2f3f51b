import type { ServerId } from '../ids';
import type { Fleet, ServerState } from './fleet';
import type { PeerRegistry } from './peers';
import type { CopyPlacementInput } from './placement-types';

/** What the placement of copies shares with that of streams. */
export interface CopyPlacementParts {
  readonly fleet: Fleet;
  readonly peers: PeerRegistry;
  readonly engineCostMs: (state: ServerState, input: CopyPlacementInput, nowMs: number) => number;
  readonly penaltyMs: (state: ServerState, nowMs: number) => number;
  readonly randomWithin: (
    spreadMs: number,
    states: readonly ServerState[],
    costOf: (state: ServerState) => number,
    random: () => number,
  ) => ServerState | undefined;
  readonly failoverSpreadMs: number;
}

export type CopyPlacer = (
  engine: ServerState,
  input: CopyPlacementInput,
  nowMs: number,
  random: () => number,
) => ServerId | undefined;

/**
 * Copies are used only when many streams lose their engines; they are spread over all engines that
 * cost at most this much more than the cheapest one.
 */
const COPY_SPREAD_MS = 250;
/**
 * An engine gets a KV cache copy only up to this part of its memory, by known tokens. Copies do not
 * yield: in a crowd they would push running streams out, which then fall silent and move.
 */
const COPY_FILL_RATIO = 0.6;

/** Engines that may hold the copy, and the cost above the cheapest up to which one is chosen. */
export interface CopyChoices {
  readonly choices: readonly ServerState[];
  readonly spreadMs: number;
}

/** Chooses the engines that hold KV cache copies, while many routers place copies at the same time. */
export function createCopyPlacer(parts: CopyPlacementParts): {
  readonly placeCopy: CopyPlacer;
  readonly copyChoices: (
    engine: ServerState,
    input: CopyPlacementInput,
    nowMs: number,
  ) => CopyChoices;
} {
  const { fleet, peers, engineCostMs, penaltyMs, randomWithin, failoverSpreadMs } = parts;

  function hasMemoryForCopy(state: ServerState, input: CopyPlacementInput, nowMs: number): boolean {
    const peerLoad = peers.loadAt(state.server.serverId, nowMs);
    const tokens = state.ownTokens + peerLoad.tokens + input.promptTokens;
    return tokens <= input.capacity.memoryTokens * COPY_FILL_RATIO;
  }

  /** Prefers engines of other failure domains, because a whole domain may be lost at once. */
  function copyChoices(engine: ServerState, input: CopyPlacementInput, nowMs: number): CopyChoices {
    const spreadMs = input.isFailover === true ? failoverSpreadMs : COPY_SPREAD_MS;
    if (!input.capacity.hasBackups) return { choices: [], spreadMs };
    const others = fleet
      .usable(input.service)
      .filter((state) => state !== engine && !input.excludedCopyHolders.has(state.server.serverId))
      .filter((state) => !fleet.isPaused(state, nowMs));
    const otherDomains = others.filter(
      ({ server }) => server.failureDomain !== engine.server.failureDomain,
    );
    const wanted = otherDomains.length > 0 ? otherDomains : others;
    const choices = wanted.filter((state) => hasMemoryForCopy(state, input, nowMs));
    return { choices, spreadMs };
  }

  function placeCopy(
    engine: ServerState,
    input: CopyPlacementInput,
    nowMs: number,
    random: () => number,
  ): ServerId | undefined {
    if (!input.capacity.hasBackups) return undefined;
    const { choices, spreadMs } = copyChoices(engine, input, nowMs);
    const costOf = (state: ServerState): number => engineCostMs(state, input, nowMs);
    const chosen = randomWithin(spreadMs, choices, costOf, random);
    if (chosen === undefined || penaltyMs(chosen, nowMs) > 0) return undefined;
    return chosen.server.serverId;
  }

  return { placeCopy, copyChoices };
}
