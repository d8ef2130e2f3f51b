import { createCallPlacer } from './call-placement';
import { createCopyPlacer } from './copy-placement';
import { createPlacementExplainer } from './placement-explain';
import { createPromptSizes } from './prompt-sizes';
import { createServerRanks } from './server-ranks';
import type { Hash32 } from '../hash/rendezvous';
import type { HostId, ServerId } from '../ids';
import type { Fleet, ServerState } from './fleet';
import type { PeerLoad, PeerRegistry } from './peers';
import type {
  CopyPlacementInput,
  CostRecorder,
  Placer,
  PromptSize,
  StreamPlacementInput,
} from './placement-types';
import type { PromptSizes, PromptSplit } from './prompt-sizes';
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
/**
 * Cost of an engine that has no memory left for the run: it may crash, and all its streams with it. It
 * is higher than that of any queue on an engine that has memory, so the engine is closed while another
 * one has room, and lower than that of a server which is probably lost.
 */
const NO_MEMORY_COST_MS = 9_500;
/**
 * Engines that cost less than this many times the reading time of the prompt apart are chosen from at
 * random. Other routers choose from the same old reports, so the engine that looks idle is given
 * several prompts at once, and each of them waits for the reading of the others.
 */
const SPREAD_READING_TIMES = 2;

export function createPlacer(
  fleet: Fleet,
  peers: PeerRegistry,
  hostId: HostId,
  hash: Hash32,
  sizes: PromptSizes = createPromptSizes(),
): Placer {
  let prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  const ranks = createServerRanks(hostId, hash);

  function promptSizeOf(
    { promptTokens }: StreamPlacementInput,
    split: PromptSplit | undefined,
  ): PromptSize {
    if (split === undefined) return undefined;
    return promptTokens > split.borderTokens ? 'long' : 'short';
  }

  function penaltyMs(state: ServerState, nowMs: number, record?: CostRecorder): number {
    const avoidMs = state.avoidUntilMs > nowMs ? avoidCostMsOf(state) : 0;
    const suspectedMs = fleet.isSuspected(state, nowMs) ? SUSPECTED_COST_MS : 0;
    const uncertainMs = state.server.isUncertain === true ? UNCERTAIN_COST_MS : 0;
    record?.('avoided', avoidMs);
    record?.('suspected', suspectedMs);
    record?.('uncertain', uncertainMs);
    return avoidMs + suspectedMs + uncertainMs;
  }

  function limitCostMs({ server }: ServerState, nowMs: number, record?: CostRecorder): number {
    const limitMs = fleet.limits.usedRatio(server.serverId, nowMs) * LIMIT_COST_MS;
    record?.('limit', limitMs);
    return limitMs;
  }

  /** Placement sums the cost of many engines, so its parts are passed on only to a recorder. */
  function engineCostMs(
    state: ServerState,
    input: CopyPlacementInput,
    nowMs: number,
    record?: CostRecorder,
  ): number {
    const peerLoad = peers.loadAt(state.server.serverId, nowMs);
    const running = state.ownRunning + peerLoad.running;
    const paceRatio = paceRatioOf(state, nowMs);
    const ownPrefillMs = fleet.prefillLeftMs(state, nowMs, prefillMsPerToken);
    const readingMs = input.promptTokens * prefillMsPerToken * (paceRatio - 1);
    const streamsMs = running * STREAM_COST_MS * paceRatio;
    const copiesMs = (state.ownCopies + peerLoad.copies) * COPY_COST_MS;
    record?.('own_prefill', ownPrefillMs);
    record?.('peer_prefill', peerLoad.prefillMs);
    record?.('reading', readingMs);
    record?.('streams', streamsMs);
    record?.('copies', copiesMs);
    return (
      ownPrefillMs +
      peerLoad.prefillMs +
      readingMs +
      streamsMs +
      copiesMs +
      fullCostMs(state, peerLoad, input, record) +
      limitCostMs(state, nowMs, record) +
      penaltyMs(state, nowMs, record)
    );
  }

  function paceRatioOf({ server: { serverId } }: ServerState, nowMs: number): number {
    return fleet.pace.paceRatio(serverId, nowMs);
  }

  function fullCostMs(
    state: ServerState,
    peerLoad: PeerLoad,
    input: CopyPlacementInput,
    record?: CostRecorder,
  ): number {
    const neededTokens = input.promptTokens + (input.outputTokens ?? 0);
    const tokens = state.ownTokens + peerLoad.tokens + neededTokens;
    if (tokens > input.capacity.memoryTokens * MEMORY_FILL_RATIO) {
      const memoryMs = fleet.pace.isStated(input.service) ? NO_MEMORY_COST_MS : FULL_ENGINE_COST_MS;
      record?.('memory', memoryMs);
      return memoryMs;
    }
    const isOutOfSlots = state.ownRunning + peerLoad.running >= input.capacity.slots;
    const slotsMs = isOutOfSlots ? FULL_ENGINE_COST_MS : 0;
    record?.('slots', slotsMs);
    return slotsMs;
  }

  /**
   * Highest random cost of a new stream's engines. Where prompts differ a lot in size, or engines in
   * speed, it grows with the reading time of the prompt: a long prompt holds up others for longer.
   */
  function maxJitterMsOf(
    { service, promptTokens }: StreamPlacementInput,
    split = sizes.splitOf(service),
  ): number {
    const isUneven = split !== undefined || fleet.pace.isStated(service);
    return isUneven ? SPREAD_READING_TIMES * promptTokens * prefillMsPerToken : JITTER_MS;
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

  /**
   * Without the prefills of other routers: what is known of them is old, and a longer time would keep
   * streams waiting on engines that are lost.
   */
  function expectedFirstEventMs(
    state: ServerState,
    input: StreamPlacementInput,
    nowMs: number,
  ): number {
    return (
      BASE_FIRST_EVENT_MS +
      fleet.prefillLeftMs(state, nowMs, prefillMsPerToken) +
      input.promptTokens * prefillMsPerToken * paceRatioOf(state, nowMs)
    );
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
  const { placeCopy, copyChoices } = createCopyPlacer({ ...shared, failoverSpreadMs });
  const { placeCall, callCostMs, callMaxJitterMs } = createCallPlacer(shared);
  const rankCost = (
    rank: ReadonlyMap<ServerId, number>,
    { server: { serverId } }: ServerState,
  ): number => (rank.get(serverId) ?? 0) * RANK_COST_MAX_MS;
  const explainer = createPlacementExplainer({
    fleet,
    peers,
    engineCostMs,
    callCostMs,
    callMaxJitterMs,
    copyChoices,
    maxJitterMsOf,
    expectedFirstEventMs,
    rankCostOf: (service) => {
      const rank = ranks.rankOf(service, fleet.usable(service));
      return (state) => rankCost(rank, state);
    },
  });

  return {
    placeStream: (input, nowMs, random) => {
      const all = fleet.usable(input.service);
      const { service, limitDraw: draw } = input;
      const claim = { service, draw, isFailover: input.isFailover === true };
      const open = fleet.withRoom(service, claim, nowMs);
      const choices = open.filter(({ server }) => !input.excluded.has(server.serverId));
      const isFirstChoice = input.isFailover !== true && input.isRecheck !== true;
      if (isFirstChoice) sizes.onPrompt(service, input.promptTokens);
      const rank = ranks.rankOf(service, all);
      const split = sizes.splitOf(service);
      const maxJitterMs = maxJitterMsOf(input, split);
      const costOf = (state: ServerState): number => engineCostMs(state, input, nowMs);
      const rankedCostOf = (state: ServerState): number =>
        costOf(state) + rankCost(rank, state) + maxJitterMs * random();
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
        expectedFirstEventMs: expectedFirstEventMs(engine, input, nowMs),
        isLightlyLoaded: isLightlyLoaded(engine, input.capacity, nowMs),
        paceRatio: paceRatioOf(engine, nowMs),
        promptSize: promptSizeOf(input, split),
      };
    },
    placeCopy: (engineId, input, nowMs, random) => {
      const engine = fleet.get(engineId);
      return engine === undefined ? undefined : placeCopy(engine, input, nowMs, random);
    },
    placeCall,
    explain: explainer,
    onPrefill: (tokens, tookMs, engine) => {
      const state = engine === undefined ? undefined : fleet.get(engine.engineId);
      const isPaced = state !== undefined && fleet.pace.isStated(state.server.service);
      // A queue of other routers' prompts says nothing of how fast prompts are read.
      if (tokens <= 0 || (isPaced && engine?.wasIdle !== true)) return;
      const sample = Math.max(0, tookMs - BASE_FIRST_EVENT_MS) / tokens;
      const usual = isPaced ? sample / paceRatioOf(state, engine?.nowMs ?? 0) : sample;
      prefillMsPerToken += PREFILL_SMOOTHING_RATIO * (usual - prefillMsPerToken);
    },
    prefillMsPerToken: () => prefillMsPerToken,
    peersRunning: (engineId, nowMs) => peers.loadAt(engineId, nowMs).running,
  };
}

function avoidCostMsOf(state: ServerState): number {
  return state.lastFailure?.kind === 'refused' ? REFUSED_COST_MS : AVOIDED_COST_MS;
}
