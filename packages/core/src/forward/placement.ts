import { rankByRendezvous } from '../hash/rendezvous';
import { remainingPrefillMs } from './fleet';
import type { Hash32 } from '../hash/rendezvous';
import type { HostId, ServerId, ServiceName } from '../ids';
import type { Fleet, ServerState } from './fleet';
import type { PeerRegistry } from './peers';
import type { EngineCapacity } from './types';

/** What the choice of an engine depends on, beside the fleet. */
export interface StreamPlacementInput {
  readonly service: ServiceName;
  readonly capacity: EngineCapacity;
  readonly promptTokens: number;
  /** Engines that lost this stream, or that must not hold it. */
  readonly excluded: ReadonlySet<ServerId>;
  /** The stream lost its engine, and probably others did at the same moment. */
  readonly isFailover?: boolean;
  /** The engine is fixed, and only the place of its copy is wanted. */
  readonly fixedEngineId?: ServerId;
}

export type StreamPlacement =
  | {
      readonly kind: 'ok';
      readonly engineId: ServerId;
      /** Engine that keeps a copy of the run's memory; undefined if there is none to spare. */
      readonly copyEngineId: ServerId | undefined;
      /** Expected time from the send to the first event. */
      readonly expectedFirstEventMs: number;
      /** The engine reads nothing now, and under half of its slots are taken. */
      readonly isLightlyLoaded: boolean;
    }
  | { readonly kind: 'none'; readonly reason: 'unlisted' | 'excluded' };

export interface CallPlacementInput {
  readonly service: ServiceName;
  /** Route, because a server may fail on one route only. */
  readonly route: string;
  readonly excluded: ReadonlySet<ServerId>;
}

/** Chooses engines and servers. Many routers choose at the same time from the same beliefs. */
export interface Placer {
  readonly placeStream: (
    input: StreamPlacementInput,
    nowMs: number,
    random: () => number,
  ) => StreamPlacement;
  /** Chooses the engine that keeps a copy of a run at another one. */
  readonly placeCopy: (
    engineId: ServerId,
    input: StreamPlacementInput,
    nowMs: number,
    random: () => number,
  ) => ServerId | undefined;
  readonly placeCall: (
    input: CallPlacementInput,
    nowMs: number,
    random: () => number,
  ) => ServerId | undefined;
  /** A prompt was read in this time, with nothing of this router ahead of it. */
  readonly onPrefill: (tokens: number, tookMs: number) => void;
  readonly prefillMsPerToken: () => number;
}

/** Reading time of a token until the first prompt has been read. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.25;
/** The reading time follows slow engines at once and fast ones slowly. */
const PREFILL_SMOOTHING_RATIO = 0.1;
/** Time until an engine answers, beside reading. */
const BASE_FIRST_EVENT_MS = 60;
/** Cost of one more running stream: it lengthens each step, and each prompt lengthens its gaps. */
const STREAM_COST_MS = 60;
/** Cost of one more copy: it only takes memory until it is used. */
const COPY_COST_MS = 15;
/**
 * Routers rank the engines differently, and each prefers the front of its own ranking by up to this
 * much: two routers that choose at the same time then seldom choose the same engine.
 */
const RANK_COST_MAX_MS = 100;
const JITTER_MS = 30;
/**
 * Streams that lose their engines together are placed within a few milliseconds, before any router
 * hears of another's choice. Two prompts at one engine cost a second, a busier engine much less, so
 * these streams are spread evenly over all engines that cost at most this much more than the
 * cheapest one. The same holds for copies, which are only used when many streams are moved.
 */
const FAILOVER_SPREAD_MS = 500;
const COPY_SPREAD_MS = 250;
/** An avoided server is only used when all others are worse by this much. */
const AVOIDED_COST_MS = 20_000;
const REFUSED_COST_MS = 60_000;
const SUSPECTED_COST_MS = 10_000;
const UNCERTAIN_COST_MS = 15_000;
/** Cost of a server whose health is the least that still gets traffic. */
const UNHEALTHY_COST_MS = 4_000;
/** Others' load in a report fades over this time. */
const REPORT_DECAY_MS = 3_000;
/** Part of an engine's memory that new streams may fill, in tokens that this router knows of. */
const MEMORY_FILL_RATIO = 0.9;
const FULL_ENGINE_COST_MS = 5_000;
/** An engine with fewer requests than this part of its slots has room for one that may be in vain. */
const LIGHT_LOAD_RATIO = 0.5;
/** Cost of one request ahead at a plain server, over its slots. */
const CALL_QUEUE_COST_MS = 100;
const CALL_JITTER_MS = 20;

export function createPlacer(
  fleet: Fleet,
  book: PeerRegistry,
  hostId: HostId,
  hash: Hash32,
): Placer {
  let msPerToken = INITIAL_PREFILL_MS_PER_TOKEN;
  const ranks = new Map<
    ServiceName,
    { readonly key: string; readonly rank: Map<ServerId, number> }
  >();

  /** Rank of each server for this router, from 0 to 1. */
  function rankOf(service: ServiceName, beliefs: readonly ServerState[]): Map<ServerId, number> {
    const key = beliefs.map(({ server }) => server.serverId).join();
    const known = ranks.get(service);
    if (known?.key === key) return known.rank;
    const ordered = rankByRendezvous(hostId, beliefs, ({ server }) => server.serverId, hash);
    const rank = new Map(
      ordered.map(({ server }, at) => [server.serverId, at / Math.max(1, ordered.length - 1)]),
    );
    ranks.set(service, { key, rank });
    return rank;
  }

  function distrustMs(belief: ServerState, nowMs: number): number {
    const avoidMs = belief.avoidUntilMs > nowMs ? avoidCostMs(belief) : 0;
    const doubtMs = fleet.isSuspected(belief, nowMs) ? SUSPECTED_COST_MS : 0;
    const lapsedMs = belief.server.isUncertain === true ? UNCERTAIN_COST_MS : 0;
    return avoidMs + doubtMs + lapsedMs;
  }

  function engineCostMs(belief: ServerState, input: StreamPlacementInput, nowMs: number): number {
    const peers = book.loadAt(belief.server.serverId, nowMs);
    const running = belief.ownRunning + peers.running;
    const tokens = belief.ownTokens + peers.tokens + input.promptTokens;
    const isFull = tokens > input.capacity.memoryTokens * MEMORY_FILL_RATIO;
    const isOutOfSlots = running >= input.capacity.slots;
    return (
      remainingPrefillMs(belief, nowMs, msPerToken) +
      peers.prefillMs +
      running * STREAM_COST_MS +
      (belief.ownCopies + peers.copies) * COPY_COST_MS +
      (isFull || isOutOfSlots ? FULL_ENGINE_COST_MS : 0) +
      distrustMs(belief, nowMs)
    );
  }

  function cheapest(
    beliefs: readonly ServerState[],
    costOf: (belief: ServerState) => number,
  ): ServerState | undefined {
    let best: ServerState | undefined;
    let bestMs = Infinity;
    beliefs.forEach((belief) => {
      const costMs = costOf(belief);
      if (costMs >= bestMs) return;
      best = belief;
      bestMs = costMs;
    });
    return best;
  }

  function isFree(belief: ServerState, means: EngineCapacity, nowMs: number): boolean {
    const peers = book.loadAt(belief.server.serverId, nowMs);
    const isReading = belief.prefills.size > 0 || peers.prefillMs > 0;
    return !isReading && belief.ownRunning + peers.running < means.slots * LIGHT_LOAD_RATIO;
  }

  /** One of those that cost at most this much more than the cheapest, each as likely. */
  function anyWithin(
    spreadMs: number,
    beliefs: readonly ServerState[],
    costOf: (belief: ServerState) => number,
    random: () => number,
  ): ServerState | undefined {
    const costs = beliefs.map((belief) => ({ belief, costMs: costOf(belief) }));
    const limitMs = Math.min(...costs.map(({ costMs }) => costMs)) + spreadMs;
    const near = costs.filter(({ costMs }) => costMs <= limitMs);
    return near[Math.floor(random() * near.length)]?.belief;
  }

  /** An engine of another failure domain, if there is one: a whole domain may be lost at once. */
  function placeCopy(
    engine: ServerState,
    input: StreamPlacementInput,
    nowMs: number,
    random: () => number,
  ): ServerId | undefined {
    if (!input.capacity.hasBackups) return undefined;
    const others = fleet
      .usable(input.service)
      .filter((belief) => belief !== engine && !input.excluded.has(belief.server.serverId));
    const apart = others.filter(
      ({ server }) => server.failureDomain !== engine.server.failureDomain,
    );
    const choices = apart.length > 0 ? apart : others;
    const spreadMs = input.isFailover === true ? FAILOVER_SPREAD_MS : COPY_SPREAD_MS;
    const costOf = (belief: ServerState): number => engineCostMs(belief, input, nowMs);
    const chosen = anyWithin(spreadMs, choices, costOf, random);
    if (chosen === undefined || distrustMs(chosen, nowMs) > 0) return undefined;
    return chosen.server.serverId;
  }

  return {
    placeStream: (input, nowMs, random) => {
      const all = fleet.usable(input.service);
      const choices = all.filter(({ server }) => !input.excluded.has(server.serverId));
      const rank = rankOf(input.service, all);
      const fixed = input.fixedEngineId === undefined ? undefined : fleet.get(input.fixedEngineId);
      const costOf = (belief: ServerState): number => engineCostMs(belief, input, nowMs);
      const rankedCostOf = (belief: ServerState): number =>
        costOf(belief) +
        (rank.get(belief.server.serverId) ?? 0) * RANK_COST_MAX_MS +
        JITTER_MS * random();
      const engine =
        fixed ??
        (input.isFailover === true
          ? anyWithin(FAILOVER_SPREAD_MS, choices, costOf, random)
          : cheapest(choices, rankedCostOf));
      if (engine === undefined) {
        return { kind: 'none', reason: all.length === 0 ? 'unlisted' : 'excluded' };
      }
      return {
        kind: 'ok',
        engineId: engine.server.serverId,
        copyEngineId: placeCopy(engine, input, nowMs, random),
        expectedFirstEventMs:
          BASE_FIRST_EVENT_MS +
          remainingPrefillMs(engine, nowMs, msPerToken) +
          input.promptTokens * msPerToken,
        isLightlyLoaded: isFree(engine, input.capacity, nowMs),
      };
    },
    placeCopy: (engineId, input, nowMs, random) => {
      const engine = fleet.get(engineId);
      return engine === undefined ? undefined : placeCopy(engine, input, nowMs, random);
    },
    placeCall: (input, nowMs, random) => {
      const open = fleet
        .usable(input.service)
        .filter(({ server }) => !input.excluded.has(server.serverId));
      const probe = open.find(({ server }) =>
        fleet.outlierDetector.claimProbe(server.serverId, input.route, nowMs),
      );
      if (probe !== undefined) return probe.server.serverId;
      return cheapest(open, (belief) => {
        const running = belief.ownRunning + othersRunning(belief, nowMs);
        const weight = fleet.outlierDetector.weight(belief.server.serverId, input.route);
        return (
          (running / Math.max(1, belief.server.slots)) * CALL_QUEUE_COST_MS +
          (1 - weight) * UNHEALTHY_COST_MS +
          distrustMs(belief, nowMs) +
          CALL_JITTER_MS * random()
        );
      })?.server.serverId;
    },
    onPrefill: (tokens, tookMs) => {
      if (tokens <= 0) return;
      const sample = Math.max(0, tookMs - BASE_FIRST_EVENT_MS) / tokens;
      msPerToken += PREFILL_SMOOTHING_RATIO * (sample - msPerToken);
    },
    prefillMsPerToken: () => msPerToken,
  };
}

function avoidCostMs(belief: ServerState): number {
  return belief.lastFailure?.kind === 'refused' ? REFUSED_COST_MS : AVOIDED_COST_MS;
}

/** Requests of other routers at the server, as far as the last report tells. */
function othersRunning(belief: ServerState, nowMs: number): number {
  const { report } = belief;
  if (report === undefined) return 0;
  const others = Math.max(0, report.running + report.waiting - report.ownRunning);
  return others * Math.exp(-Math.max(0, nowMs - report.atMs) / REPORT_DECAY_MS);
}
