import { rankByRendezvous } from '../hash/rendezvous';
import { createCallPlacer } from './call-placement';
import { createCopyPlacer } from './copy-placement';
import { remainingPrefillMs } from './fleet';
import type { Hash32 } from '../hash/rendezvous';
import type { HostId, ServerId, ServiceName } from '../ids';
import type { Fleet, ServerState } from './fleet';
import type { PeerRegistry } from './peers';
import type { CopyPlacementInput, Placer } from './placement-types';
import type { EngineCapacity } from './types';

/** Assumed prefill time of a token until a prefill has been observed. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.25;
/** Weight of the newest prefill in the moving average. */
const PREFILL_SMOOTHING_RATIO = 0.1;
/** Time from the send to the first event, without the prefill. */
const BASE_FIRST_EVENT_MS = 60;
/** Cost of a stream on the engine: it lengthens each decode step, and prefills delay its events. */
const STREAM_COST_MS = 60;
/** Cost of a KV cache copy on the engine: until it is used, it only takes memory. */
const COPY_COST_MS = 15;
/**
 * Highest cost of an engine's position in the router's own ranking. Each router ranks the engines
 * differently, so two routers that choose at the same time seldom choose the same engine.
 */
const RANK_COST_MAX_MS = 100;
const JITTER_MS = 30;
/**
 * Streams that lose their engines together are placed within a few milliseconds, before any router
 * learns of another's choice. Two prefills on one engine cost a second, a busier engine costs much
 * less, so these streams are spread evenly over all engines that cost at most this much more than
 * the cheapest one.
 */
const FAILOVER_SPREAD_MS = 500;
/** Cost of an avoided server, which is used only if all others cost this much more. */
const AVOIDED_COST_MS = 20_000;
const REFUSED_COST_MS = 60_000;
const SUSPECTED_COST_MS = 10_000;
const UNCERTAIN_COST_MS = 15_000;
/** Part of an engine's KV cache, by known tokens, above which the engine counts as full. */
const MEMORY_FILL_RATIO = 0.9;
const FULL_ENGINE_COST_MS = 5_000;
/**
 * Below this part of its slots in use an engine is lightly loaded: a stream that may miss its
 * deadline takes no capacity from others there.
 */
const LIGHT_LOAD_RATIO = 0.5;
/** Cost of a server that has no room left under the limit that it named; proportionally less before. */
const LIMIT_COST_MS = 100;

export function createPlacer(
  fleet: Fleet,
  peers: PeerRegistry,
  hostId: HostId,
  hash: Hash32,
): Placer {
  let prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  const ranks = new Map<
    ServiceName,
    { readonly key: string; readonly rank: Map<ServerId, number> }
  >();

  /** Position of each server in this router's ranking, from 0 to 1. */
  function rankOf(service: ServiceName, states: readonly ServerState[]): Map<ServerId, number> {
    const key = states.map(({ server }) => server.serverId).join();
    const known = ranks.get(service);
    if (known?.key === key) return known.rank;
    const ordered = rankByRendezvous(hostId, states, ({ server }) => server.serverId, hash);
    const rank = new Map(
      ordered.map(({ server }, at) => [server.serverId, at / Math.max(1, ordered.length - 1)]),
    );
    ranks.set(service, { key, rank });
    return rank;
  }

  function penaltyMs(state: ServerState, nowMs: number): number {
    const avoidMs = state.avoidUntilMs > nowMs ? avoidCostMsOf(state) : 0;
    const suspectedMs = fleet.isSuspected(state, nowMs) ? SUSPECTED_COST_MS : 0;
    const uncertainMs = state.server.isUncertain === true ? UNCERTAIN_COST_MS : 0;
    return avoidMs + suspectedMs + uncertainMs;
  }

  function limitCostMs({ server }: ServerState, nowMs: number): number {
    return fleet.limits.usedRatio(server.serverId, nowMs) * LIMIT_COST_MS;
  }

  function engineCostMs(state: ServerState, input: CopyPlacementInput, nowMs: number): number {
    const peerLoad = peers.loadAt(state.server.serverId, nowMs);
    const running = state.ownRunning + peerLoad.running;
    const tokens = state.ownTokens + peerLoad.tokens + input.promptTokens;
    const isFull = tokens > input.capacity.memoryTokens * MEMORY_FILL_RATIO;
    const isOutOfSlots = running >= input.capacity.slots;
    return (
      remainingPrefillMs(state, nowMs, prefillMsPerToken) +
      peerLoad.prefillMs +
      running * STREAM_COST_MS +
      (state.ownCopies + peerLoad.copies) * COPY_COST_MS +
      (isFull || isOutOfSlots ? FULL_ENGINE_COST_MS : 0) +
      limitCostMs(state, nowMs) +
      penaltyMs(state, nowMs)
    );
  }

  function cheapest(
    states: readonly ServerState[],
    costOf: (state: ServerState) => number,
  ): ServerState | undefined {
    let cheapestState: ServerState | undefined;
    let cheapestMs = Infinity;
    states.forEach((state) => {
      const costMs = costOf(state);
      if (costMs >= cheapestMs) return;
      cheapestState = state;
      cheapestMs = costMs;
    });
    return cheapestState;
  }

  function isLightlyLoaded(state: ServerState, capacity: EngineCapacity, nowMs: number): boolean {
    const peerLoad = peers.loadAt(state.server.serverId, nowMs);
    const isPrefilling = state.prefills.size > 0 || peerLoad.prefillMs > 0;
    return !isPrefilling && state.ownRunning + peerLoad.running < capacity.slots * LIGHT_LOAD_RATIO;
  }

  /** Random choice among the servers that cost at most `spreadMs` more than the cheapest one. */
  function randomWithin(
    spreadMs: number,
    states: readonly ServerState[],
    costOf: (state: ServerState) => number,
    random: () => number,
  ): ServerState | undefined {
    const costs = states.map((state) => ({ state, costMs: costOf(state) }));
    const limitMs = Math.min(...costs.map(({ costMs }) => costMs)) + spreadMs;
    const near = costs.filter(({ costMs }) => costMs <= limitMs);
    return near[Math.floor(random() * near.length)]?.state;
  }

  const failoverSpreadMs = FAILOVER_SPREAD_MS;
  const shared = { fleet, peers, penaltyMs, limitCostMs, engineCostMs, cheapest, randomWithin };
  const placeCopy = createCopyPlacer({ ...shared, failoverSpreadMs });
  const placeCall = createCallPlacer(shared);

  return {
    placeStream: (input, nowMs, random) => {
      const all = fleet.usable(input.service);
      const { service, limitDraw: draw } = input;
      const claim = { service, draw, isFailover: input.isFailover === true };
      const open = fleet.withRoom(service, claim, nowMs);
      const choices = open.filter(({ server }) => !input.excluded.has(server.serverId));
      const rank = rankOf(input.service, all);
      const costOf = (state: ServerState): number => engineCostMs(state, input, nowMs);
      const rankedCostOf = (state: ServerState): number =>
        costOf(state) +
        (rank.get(state.server.serverId) ?? 0) * RANK_COST_MAX_MS +
        JITTER_MS * random();
      const chooseEngine = (): ServerState | undefined => {
        const { fixedEngineId } = input;
        if (fixedEngineId !== undefined) {
          if (input.excludedCopyHolders.has(fixedEngineId)) return undefined;
          return open.find(({ server }) => server.serverId === fixedEngineId);
        }
        return input.isFailover === true
          ? randomWithin(FAILOVER_SPREAD_MS, choices, costOf, random)
          : cheapest(choices, rankedCostOf);
      };
      const engine = chooseEngine();
      if (engine === undefined) {
        return { kind: 'none', reason: all.length === 0 ? 'unlisted' : 'excluded' };
      }
      return {
        kind: 'ok',
        engineId: engine.server.serverId,
        copyEngineId: placeCopy(engine, input, nowMs, random),
        expectedFirstEventMs:
          BASE_FIRST_EVENT_MS +
          remainingPrefillMs(engine, nowMs, prefillMsPerToken) +
          input.promptTokens * prefillMsPerToken,
        isLightlyLoaded: isLightlyLoaded(engine, input.capacity, nowMs),
      };
    },
    placeCopy: (engineId, input, nowMs, random) => {
      const engine = fleet.get(engineId);
      return engine === undefined ? undefined : placeCopy(engine, input, nowMs, random);
    },
    placeCall,
    onPrefill: (tokens, tookMs) => {
      if (tokens <= 0) return;
      const sample = Math.max(0, tookMs - BASE_FIRST_EVENT_MS) / tokens;
      prefillMsPerToken += PREFILL_SMOOTHING_RATIO * (sample - prefillMsPerToken);
    },
    prefillMsPerToken: () => prefillMsPerToken,
  };
}

function avoidCostMsOf(state: ServerState): number {
  return state.lastFailure?.kind === 'refused' ? REFUSED_COST_MS : AVOIDED_COST_MS;
}
