import { rankByRendezvous } from '../hash/rendezvous';
import { readingLeftMs } from './fleet';
import type { Hash32 } from '../hash/rendezvous';
import type { HostId, ServerId, ServiceName } from '../ids';
import type { Fleet, ServerBelief } from './fleet';
import type { PeerBook } from './peers';
import type { EngineMeans } from './types';

/** What the choice of an engine depends on, beside the fleet. */
export interface StreamPlacementInput {
  readonly service: ServiceName;
  readonly means: EngineMeans;
  readonly promptTokens: number;
  /** Engines that lost this stream, or that must not hold it. */
  readonly excluded: ReadonlySet<ServerId>;
  /** The stream lost its engine, and probably others did at the same moment. */
  readonly isMoved?: boolean;
  /** The engine is fixed, and only the place of its copy is wanted. */
  readonly engineId?: ServerId;
}

export type StreamPlacement =
  | {
      readonly kind: 'ok';
      readonly engineId: ServerId;
      /** Engine that keeps a copy of the run's memory; undefined if there is none to spare. */
      readonly copyAtId: ServerId | undefined;
      /** Expected time from the send to the first event. */
      readonly expectedFirstMs: number;
      /** The engine reads nothing now, and under half of its slots are taken. */
      readonly isFree: boolean;
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
  readonly onRead: (tokens: number, tookMs: number) => void;
  readonly msPerToken: () => number;
}

/** Reading time of a token until the first prompt has been read. */
const FIRST_MS_PER_TOKEN = 0.25;
/** The reading time follows slow engines at once and fast ones slowly. */
const READ_SMOOTHING_RATIO = 0.1;
/** Time until an engine answers, beside reading. */
const BASE_FIRST_MS = 60;
/** Cost of one more running stream: it lengthens each step, and each prompt lengthens its gaps. */
const RUNNING_COST_MS = 60;
/** Cost of one more copy: it only takes memory until it is used. */
const COPY_COST_MS = 15;
/**
 * Routers rank the engines differently, and each prefers the front of its own ranking by up to this
 * much: two routers that choose at the same time then seldom choose the same engine.
 */
const RANK_COST_MS = 100;
const JITTER_MS = 30;
/**
 * Streams that lose their engines together are placed within a few milliseconds, before any router
 * hears of another's choice. Two prompts at one engine cost a second, a busier engine much less, so
 * these streams are spread evenly over all engines that cost at most this much more than the
 * cheapest one. The same holds for copies, which are only used when many streams are moved.
 */
const MOVED_SPREAD_MS = 500;
const COPY_SPREAD_MS = 250;
/** An avoided server is only used when all others are worse by this much. */
const AVOID_COST_MS = 20_000;
const REFUSED_COST_MS = 60_000;
const DOUBT_COST_MS = 10_000;
const LAPSED_COST_MS = 15_000;
/** Cost of a server whose health is the least that still gets traffic. */
const ILL_COST_MS = 4_000;
/** Others' load in a report fades over this time. */
const REPORT_LIFE_MS = 3_000;
/** Part of an engine's memory that new streams may fill, in tokens that this router knows of. */
const MEMORY_FILL_RATIO = 0.9;
const FULL_COST_MS = 5_000;
/** An engine with fewer requests than this part of its slots has room for one that may be in vain. */
const FREE_RATIO = 0.5;
/** Cost of one request ahead at a plain server, over its slots. */
const CALL_QUEUE_COST_MS = 100;
const CALL_JITTER_MS = 20;

export function createPlacer(fleet: Fleet, book: PeerBook, hostId: HostId, hash: Hash32): Placer {
  let msPerToken = FIRST_MS_PER_TOKEN;
  const ranks = new Map<
    ServiceName,
    { readonly key: string; readonly rank: Map<ServerId, number> }
  >();

  /** Rank of each server for this router, from 0 to 1. */
  function rankOf(service: ServiceName, beliefs: readonly ServerBelief[]): Map<ServerId, number> {
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

  function distrustMs(belief: ServerBelief, nowMs: number): number {
    const avoidMs = belief.avoidUntilMs > nowMs ? avoidCostMs(belief) : 0;
    const doubtMs = fleet.isDoubted(belief, nowMs) ? DOUBT_COST_MS : 0;
    const lapsedMs = belief.server.isUncertain === true ? LAPSED_COST_MS : 0;
    return avoidMs + doubtMs + lapsedMs;
  }

  function engineCostMs(belief: ServerBelief, input: StreamPlacementInput, nowMs: number): number {
    const peers = book.loadAt(belief.server.serverId, nowMs);
    const running = belief.ownRunning + peers.running;
    const tokens = belief.ownTokens + peers.tokens + input.promptTokens;
    const isFull = tokens > input.means.memoryTokens * MEMORY_FILL_RATIO;
    const isOutOfSlots = running >= input.means.slots;
    return (
      readingLeftMs(belief, nowMs, msPerToken) +
      peers.readingMs +
      running * RUNNING_COST_MS +
      (belief.ownCopies + peers.copies) * COPY_COST_MS +
      (isFull || isOutOfSlots ? FULL_COST_MS : 0) +
      distrustMs(belief, nowMs)
    );
  }

  function cheapest(
    beliefs: readonly ServerBelief[],
    costOf: (belief: ServerBelief) => number,
  ): ServerBelief | undefined {
    let best: ServerBelief | undefined;
    let bestMs = Infinity;
    beliefs.forEach((belief) => {
      const costMs = costOf(belief);
      if (costMs >= bestMs) return;
      best = belief;
      bestMs = costMs;
    });
    return best;
  }

  function isFree(belief: ServerBelief, means: EngineMeans, nowMs: number): boolean {
    const peers = book.loadAt(belief.server.serverId, nowMs);
    const isReading = belief.readings.size > 0 || peers.readingMs > 0;
    return !isReading && belief.ownRunning + peers.running < means.slots * FREE_RATIO;
  }

  /** One of those that cost at most this much more than the cheapest, each as likely. */
  function anyWithin(
    spreadMs: number,
    beliefs: readonly ServerBelief[],
    costOf: (belief: ServerBelief) => number,
    random: () => number,
  ): ServerBelief | undefined {
    const costs = beliefs.map((belief) => ({ belief, costMs: costOf(belief) }));
    const limitMs = Math.min(...costs.map(({ costMs }) => costMs)) + spreadMs;
    const near = costs.filter(({ costMs }) => costMs <= limitMs);
    return near[Math.floor(random() * near.length)]?.belief;
  }

  /** An engine of another failure domain, if there is one: a whole domain may be lost at once. */
  function placeCopy(
    engine: ServerBelief,
    input: StreamPlacementInput,
    nowMs: number,
    random: () => number,
  ): ServerId | undefined {
    if (!input.means.hasBackups) return undefined;
    const others = fleet
      .usable(input.service)
      .filter((belief) => belief !== engine && !input.excluded.has(belief.server.serverId));
    const apart = others.filter(
      ({ server }) => server.failureDomain !== engine.server.failureDomain,
    );
    const choices = apart.length > 0 ? apart : others;
    const spreadMs = input.isMoved === true ? MOVED_SPREAD_MS : COPY_SPREAD_MS;
    const costOf = (belief: ServerBelief): number => engineCostMs(belief, input, nowMs);
    const chosen = anyWithin(spreadMs, choices, costOf, random);
    if (chosen === undefined || distrustMs(chosen, nowMs) > 0) return undefined;
    return chosen.server.serverId;
  }

  return {
    placeStream: (input, nowMs, random) => {
      const all = fleet.usable(input.service);
      const choices = all.filter(({ server }) => !input.excluded.has(server.serverId));
      const rank = rankOf(input.service, all);
      const fixed = input.engineId === undefined ? undefined : fleet.get(input.engineId);
      const costOf = (belief: ServerBelief): number => engineCostMs(belief, input, nowMs);
      const rankedCostOf = (belief: ServerBelief): number =>
        costOf(belief) +
        (rank.get(belief.server.serverId) ?? 0) * RANK_COST_MS +
        JITTER_MS * random();
      const engine =
        fixed ??
        (input.isMoved === true
          ? anyWithin(MOVED_SPREAD_MS, choices, costOf, random)
          : cheapest(choices, rankedCostOf));
      if (engine === undefined) {
        return { kind: 'none', reason: all.length === 0 ? 'unlisted' : 'excluded' };
      }
      return {
        kind: 'ok',
        engineId: engine.server.serverId,
        copyAtId: placeCopy(engine, input, nowMs, random),
        expectedFirstMs:
          BASE_FIRST_MS +
          readingLeftMs(engine, nowMs, msPerToken) +
          input.promptTokens * msPerToken,
        isFree: isFree(engine, input.means, nowMs),
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
        fleet.judge.claimProbe(server.serverId, input.route, nowMs),
      );
      if (probe !== undefined) return probe.server.serverId;
      return cheapest(open, (belief) => {
        const running = belief.ownRunning + othersRunning(belief, nowMs);
        const weight = fleet.judge.weight(belief.server.serverId, input.route);
        return (
          (running / Math.max(1, belief.server.slots)) * CALL_QUEUE_COST_MS +
          (1 - weight) * ILL_COST_MS +
          distrustMs(belief, nowMs) +
          CALL_JITTER_MS * random()
        );
      })?.server.serverId;
    },
    onRead: (tokens, tookMs) => {
      if (tokens <= 0) return;
      const sample = Math.max(0, tookMs - BASE_FIRST_MS) / tokens;
      msPerToken += READ_SMOOTHING_RATIO * (sample - msPerToken);
    },
    msPerToken: () => msPerToken,
  };
}

function avoidCostMs(belief: ServerBelief): number {
  return belief.lastFailure?.kind === 'refused' ? REFUSED_COST_MS : AVOID_COST_MS;
}

/** Requests of other routers at the server, as far as the last report tells. */
function othersRunning(belief: ServerBelief, nowMs: number): number {
  const { report } = belief;
  if (report === undefined) return 0;
  const others = Math.max(0, report.running + report.waiting - report.ownRunning);
  return others * Math.exp(-Math.max(0, nowMs - report.atMs) / REPORT_LIFE_MS);
}
