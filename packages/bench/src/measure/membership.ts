import { createRandom } from '@mimosamill/fakes';
import { shuffle } from '@mimosamill/core';
import { quantileSorted } from 'simple-statistics';
import { measureUsage, round, startNodeFleet, waitUntil, wait } from '../member/fleet';
import type { NodeFleet, Usage } from '../member/fleet';
import type { Measurement, MeasureOptions, MeasureResult } from './measurement';

/** Small fleets run side by side, so that the measurement takes less than a minute. */
const FLEET_SIZES_BY_ROUND: readonly (readonly number[])[] = [[8, 16, 32], [64]];
const JOIN_TIMEOUT_MS = 15_000;
const SETTLE_MS = 2_000;
const STEADY_MS = 5_000;
const FULL_STEADY_MS = 30_000;
/** Shorter than any suspicion lasts, so nobody may be declared dead for it. */
const SHORT_PAUSE_MS = 2_000;
/** Long enough to be declared dead and to have to refute it. */
const LONG_PAUSE_MS = 15_000;
const DETECTION_WAIT_MS = 12_000;
const RECOVERY_TIMEOUT_MS = 30_000;

interface Trial {
  readonly nodes: number;
  readonly joinMs: number;
  readonly usage: Usage;
  readonly detectMs: readonly number[];
  readonly suspectMs: readonly number[];
  readonly undetected: number;
  readonly falseDeaths: number;
  readonly pausedDeaths: number;
  readonly returnedMs: number | undefined;
}

/** Real processes on loopback, some of them killed and some paused. */
export const membershipMeasurement: Measurement = {
  name: 'membership',
  summary: 'detection of dead routers, false deaths, and the cost per node',
  run: measure,
};

async function measure({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const trials: Trial[] = [];
  for (const sizes of FLEET_SIZES_BY_ROUND) {
    trials.push(...(await Promise.all(sizes.map((nodes) => runTrial(nodes, seed, isFull)))));
  }
  return {
    nodes: trials.map(({ nodes }) => nodes),
    join_ms: trials.map(({ joinMs }) => joinMs),
    kills: trials.map(({ nodes }) => killCount(nodes)),
    detect_p95_ms: quantile(
      trials.flatMap(({ detectMs }) => detectMs),
      0.95,
    ),
    detect_p95_ms_by_size: trials.map(({ detectMs }) => quantile(detectMs, 0.95)),
    detect_max_ms: Math.max(...trials.flatMap(({ detectMs }) => detectMs)),
    suspect_p95_ms: quantile(
      trials.flatMap(({ suspectMs }) => suspectMs),
      0.95,
    ),
    undetected: sum(trials.map(({ undetected }) => undetected)),
    false_deaths: sum(trials.map(({ falseDeaths }) => falseDeaths)),
    paused_ms: isFull ? LONG_PAUSE_MS : SHORT_PAUSE_MS,
    paused_declared_dead: sum(trials.map(({ pausedDeaths }) => pausedDeaths)),
    paused_back_everywhere_ms: trials.map(({ returnedMs }) => returnedMs ?? null),
    bytes_per_sec_per_node: trials.map(({ usage }) =>
      Math.round(usage.inBytesPerSec + usage.outBytesPerSec),
    ),
    out_bytes_per_sec_per_node: trials.map(({ usage }) => Math.round(usage.outBytesPerSec)),
    cpu_ratio_per_node: trials.map(({ usage }) => round(usage.cpuRatio, 5)),
    rss_mb_per_node: trials.map(({ usage }) => round(usage.rssMb, 1)),
  };
}

function killCount(nodes: number): number {
  return Math.max(2, Math.floor(nodes / 10));
}

async function runTrial(nodes: number, seed: number, isFull: boolean): Promise<Trial> {
  const spec = { binary: 'bench-node', nodes, seed, engines: 0, streams: 0, customers: 0 } as const;
  const fleet = await startNodeFleet(spec);
  try {
    return await observeFleet(fleet, seed, isFull);
  } finally {
    await fleet.stop();
  }
}

async function observeFleet(fleet: NodeFleet, seed: number, isFull: boolean): Promise<Trial> {
  const nodes = fleet.ids.length;
  const joinStartMs = Date.now();
  await waitUntil(() => hasConverged(fleet, fleet.ids, nodes), JOIN_TIMEOUT_MS);
  const joinMs = Date.now() - joinStartMs;
  await wait(SETTLE_MS);
  const steadyFromMs = Date.now();
  await wait(isFull ? FULL_STEADY_MS : STEADY_MS);
  const usage = measureUsage(fleet, steadyFromMs, Date.now());

  const order = shuffle(fleet.ids, createRandom(seed));
  const killed = order.slice(0, killCount(nodes));
  const paused = order.slice(killed.length, 2 * killed.length);
  const killedAtMs = new Map<string, number>();
  killed.forEach((id) => {
    killedAtMs.set(id, Date.now());
    fleet.signal(id, 'SIGKILL');
  });
  const resumedAtMs = await pause(fleet, paused, isFull ? LONG_PAUSE_MS : SHORT_PAUSE_MS);
  await wait(Math.max(0, steadyFromMs + DETECTION_WAIT_MS + STEADY_MS - Date.now()));
  const left = fleet.ids.filter((id) => !killed.includes(id));
  const isBack = await waitUntil(() => hasConverged(fleet, left, left.length), RECOVERY_TIMEOUT_MS);
  return {
    nodes,
    joinMs,
    usage,
    ...countDeaths(fleet, killedAtMs, paused),
    returnedMs: isBack ? lastReturnMs(fleet, paused, resumedAtMs) : undefined,
  };
}

async function pause(fleet: NodeFleet, ids: readonly string[], pauseMs: number): Promise<number> {
  ids.forEach((id) => fleet.signal(id, 'SIGSTOP'));
  await wait(pauseMs);
  ids.forEach((id) => fleet.signal(id, 'SIGCONT'));
  return Date.now();
}

/** Whether each of the observers' last report shows that many members alive. */
function hasConverged(fleet: NodeFleet, observers: readonly string[], count: number): boolean {
  return observers.every((id) => fleet.stats(id).at(-1)?.states['alive'] === count);
}

function countDeaths(fleet: NodeFleet, killedAtMs: Map<string, number>, paused: readonly string[]) {
  const observers = fleet.ids.filter((id) => !killedAtMs.has(id) && !paused.includes(id));
  const pairs = [...killedAtMs].flatMap(([routerId, atMs]) =>
    observers.map((observer) => ({ routerId, atMs, observer })),
  );
  const delays = (state: string): number[] =>
    pairs.flatMap(({ routerId, atMs, observer }) => {
      const seen = fleet.observations.find(
        (one) => one.observer === observer && one.routerId === routerId && one.state === state,
      );
      return seen === undefined ? [] : [seen.atMs - atMs];
    });
  const deaths = fleet.observations.filter(({ state }) => state === 'dead');
  const others = deaths.filter(({ routerId }) => !killedAtMs.has(routerId));
  const ofPaused = others.filter(({ routerId }) => paused.includes(routerId));
  const detectMs = delays('dead');
  return {
    detectMs,
    suspectMs: delays('suspect'),
    undetected: pairs.length - detectMs.length,
    falseDeaths: new Set(others.map(({ routerId }) => routerId)).size - countIds(ofPaused),
    pausedDeaths: countIds(ofPaused),
  };
}

function countIds(sightings: readonly { readonly routerId: string }[]): number {
  return new Set(sightings.map(({ routerId }) => routerId)).size;
}

/** Time from the end of the pauses until the last node saw the last paused one alive again. */
function lastReturnMs(fleet: NodeFleet, paused: readonly string[], resumedAtMs: number): number {
  const returns = fleet.observations.filter(
    ({ routerId, state, atMs }) =>
      paused.includes(routerId) && state === 'alive' && atMs > resumedAtMs,
  );
  return Math.max(0, ...returns.map(({ atMs }) => atMs - resumedAtMs));
}

function quantile(values: readonly number[], p: number): number {
  if (values.length === 0) return 0;
  return quantileSorted(
    [...values].sort((a, b) => a - b),
    p,
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
