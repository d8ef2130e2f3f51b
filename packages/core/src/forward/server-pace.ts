import { evictOldest } from '../evict';
import type { HostId, ServerId, ServiceName } from '../ids';

/**
 * How long work takes on each server now, as a part of what is usual in its service: 2 is twice as
 * long. It answers a load in which servers of one service differ in speed, and each of them slows down
 * for parts of a second, while a router hears of most servers seldom. The lasting part is learned from
 * several reports; what a single report says beyond it counts only while the report is fresh.
 */
export interface ServerPace {
  /** The server stated how long work takes there, in percent of the usual time; undefined if not. */
  readonly onReport: (
    server: PacedServer,
    workTimePercent: number | undefined,
    nowMs: number,
  ) => void;
  /** 1 for a server of which nothing is known, or not lately. */
  readonly paceRatio: (serverId: ServerId, nowMs: number) => number;
  /** Age of the last report; undefined if there is none. */
  readonly ageMs: (serverId: ServerId, nowMs: number) => number | undefined;
  /** Whether a server of the service has stated how long work takes: only then the pace is used. */
  readonly isStated: (service: ServiceName) => boolean;
  /** What this router heard lately: of most servers, the others hear seldom. */
  readonly ownReports: (nowMs: number) => readonly PaceReport[];
  /** Another router heard it; its repeats count once. */
  readonly onPeerReport: (
    server: PacedServer,
    report: PaceReport,
    hostId: HostId,
    nowMs: number,
  ) => void;
  /** Servers whose pace is known. */
  readonly count: () => number;
  readonly forget: (serverId: ServerId) => void;
}

/** A figure that another router's server report gave. */
export interface PaceReport {
  readonly serverId: ServerId;
  readonly workTimePercent: number;
  readonly ageMs: number;
}

export interface PacedServer {
  readonly serverId: ServerId;
  readonly service: ServiceName;
}

/** Above this a figure is a fault of the server: nothing is served there a hundred times slower. */
export const WORK_TIME_MAX_PERCENT = 10_000;
const USUAL_PERCENT = 100;
/** A figure moves placement, so a wrong one must neither draw all streams nor shut a server. */
const RATIO_MIN = 0.5;
const RATIO_MAX = 3;
/** Time constant with which a momentary slowness, which lasts for parts of a second, stops counting. */
const MOMENT_LIFE_MS = 400;
/** Time constant with which the lasting pace of a server that is not heard decays to the usual one. */
const LASTING_LIFE_MS = 120_000;
/** Reports whose median is the lasting pace: a server that changes is followed after three. */
const REPORTS_KEPT = 5;
/** Own reports are told for so long: messages that tell them come at least once a second. */
const TELL_MS = 1_200;
/** Two reports of a router on one server that are this close are one, told twice. */
const REPEAT_MS = 100;
/** Times of the last reports that are remembered, to tell repeats. */
const TOLD_MAX = 16_384;
/** An older report tells nothing of the moment; a message that was held up may bring one. */
const PEER_REPORT_MAX_AGE_MS = 2_000;

interface HeardPace {
  /** Logarithms of the last ratios, since twice as fast and twice as slow weigh the same. */
  readonly logs: readonly number[];
  readonly lastAtMs: number;
}

interface OwnReport {
  readonly percent: number;
  readonly atMs: number;
}

export function createServerPace(): ServerPace {
  const heard = new Map<ServerId, HeardPace>();
  const stated = new Set<ServiceName>();
  const own = new Map<ServerId, OwnReport>();
  const lastTold = new Map<string, number>();

  function learn({ serverId, service }: PacedServer, percent: number, atMs: number): void {
    stated.add(service);
    const log = Math.log(bounded(percent / USUAL_PERCENT));
    const known = heard.get(serverId);
    const logs = [...(known?.logs ?? []), log].slice(-REPORTS_KEPT);
    heard.set(serverId, { logs, lastAtMs: Math.max(atMs, known?.lastAtMs ?? -Infinity) });
  }

  return {
    onReport: (server, workTimePercent, nowMs) => {
      if (workTimePercent === undefined || !isPlausible(workTimePercent)) return;
      learn(server, workTimePercent, nowMs);
      own.set(server.serverId, { percent: workTimePercent, atMs: nowMs });
    },
    ownReports: (nowMs) => {
      own.forEach(({ atMs }, serverId) => {
        if (nowMs - atMs > TELL_MS) own.delete(serverId);
      });
      return [...own].map(([serverId, { percent, atMs }]) => ({
        serverId,
        workTimePercent: percent,
        ageMs: nowMs - atMs,
      }));
    },
    onPeerReport: (server, { workTimePercent, ageMs }, hostId, nowMs) => {
      if (!isPlausible(workTimePercent) || ageMs > PEER_REPORT_MAX_AGE_MS) return;
      const atMs = nowMs - ageMs;
      // The newest report says what the server does at the moment.
      if (atMs < (heard.get(server.serverId)?.lastAtMs ?? -Infinity)) return;
      const key = `${server.serverId}\u0000${hostId}`;
      if (atMs - (lastTold.get(key) ?? -Infinity) < REPEAT_MS) return;
      lastTold.delete(key);
      lastTold.set(key, atMs);
      evictOldest(lastTold, TOLD_MAX);
      learn(server, workTimePercent, atMs);
    },
    paceRatio: (serverId, nowMs) => {
      const pace = heard.get(serverId);
      if (pace === undefined) return 1;
      const ageMs = ageOf(pace, nowMs);
      const lasting = lastingLog(pace.logs) * Math.exp(-ageMs / LASTING_LIFE_MS);
      const moment = ((pace.logs.at(-1) ?? 0) - lasting) * Math.exp(-ageMs / MOMENT_LIFE_MS);
      return bounded(Math.exp(lasting + moment));
    },
    ageMs: (serverId, nowMs) => {
      const pace = heard.get(serverId);
      return pace === undefined ? undefined : ageOf(pace, nowMs);
    },
    isStated: (service) => stated.has(service),
    count: () => heard.size,
    forget: (serverId) => {
      heard.delete(serverId);
      own.delete(serverId);
    },
  };
}

/** Median of the reports, nearer to the usual pace the fewer there are: one may tell of a moment. */
function lastingLog(logs: readonly number[]): number {
  const sorted = [...logs].sort((a, b) => a - b);
  const median = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return (median * sorted.length) / (sorted.length + 1);
}

function isPlausible(percent: number): boolean {
  return percent > 0 && percent <= WORK_TIME_MAX_PERCENT;
}

function bounded(ratio: number): number {
  return Math.min(RATIO_MAX, Math.max(RATIO_MIN, ratio));
}

function ageOf({ lastAtMs }: HeardPace, nowMs: number): number {
  return Math.max(0, nowMs - lastAtMs);
}
