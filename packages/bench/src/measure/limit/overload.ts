import { createAdmissionController } from '@mimosamill/core';
import { createRandom, exponential, round } from '../random';
import { createSimulatedEngine, MAX_RUNNING } from '../route/engine';
import { createTimeline } from '../timeline';
import type { AdmissionController, AdmissionEffect, RoutePriority } from '@mimosamill/core';
import type { MeasureOptions, Measurement, MeasureResult } from '../measurement';
import type { Random } from '../random';
import type { SimulatedEngine } from '../route/engine';
import type { Timeline } from '../timeline';

/** Offered load in multiples of the capacity. */
const LOAD_RATIOS = [0.5, 0.8, 1, 1.5, 2, 3];
const ENGINES = 4;
const SMALL_CUSTOMERS = 9;
const LARGE_CUSTOMER = 'large';
/** Part of the capacity that each small customer asks for; its fair share is a tenth. */
const SMALL_CUSTOMER_LOAD_RATIO = 0.06;
const PROMPT_TOKENS = 200;
/** Pace of a full batch; the router's estimate of a request's duration uses it. */
const TOKEN_MS = 33.2;
const PREFILL_MS = 60;
const LONG_RATIO = 0.07;
const LONG_TOKENS = 1_200;
const SHORT_MEAN_TOKENS = 150;
const MEAN_TOKENS = LONG_RATIO * LONG_TOKENS + (1 - LONG_RATIO) * SHORT_MEAN_TOKENS;
const CAPACITY_TOKENS_PER_SEC = (ENGINES * MAX_RUNNING * 1_000) / TOKEN_MS;
const DEADLINE_SLACK_MS = 3_000;
const WARM_UP_MS = 30_000;
const MEASURED_MS = 600_000;
const FULL_MEASURED_MS = 3_600_000;
/** Recovery is looked for in steps of this length after the overload has ended. */
const RECOVERY_STEP_MS = 1_000;
const RECOVERED_ON_TIME_RATIO = 0.99;

interface Request {
  readonly customer: string;
  readonly tokens: number;
  readonly priority: RoutePriority;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

type RequestEnd = 'on_time' | 'late' | 'refused' | 'unfinished';

interface Outcome {
  readonly request: Request;
  end: RequestEnd;
}

interface LoadPhase {
  readonly untilMs: number;
  readonly loadRatio: number;
}

/** A backend with a known capacity behind the admission gate, and without one as the baseline. */
export const overloadMeasurement: Measurement = {
  name: 'overload',
  summary: 'goodput, late answers and fairness past saturation, and recovery',
  run: measureOverload,
};

async function measureOverload({ seed, isFull }: MeasureOptions): Promise<MeasureResult> {
  const measuredMs = isFull ? FULL_MEASURED_MS : MEASURED_MS;
  const gated = LOAD_RATIOS.map((load) =>
    summarise(simulateLoad(load, seed, measuredMs, true), measuredMs),
  );
  const open = LOAD_RATIOS.map((load) =>
    summarise(simulateLoad(load, seed, measuredMs, false), measuredMs),
  );
  const peak = Math.max(...gated.map((figures) => figures.goodput));
  const openPeak = Math.max(...open.map((figures) => figures.goodput));
  return {
    offered_ratio: LOAD_RATIOS,
    goodput_ratio: gated.map((figures) => round(figures.goodput / peak, 3)),
    goodput_of_capacity_ratio: gated.map((figures) => round(figures.goodput, 3)),
    late_ratio: gated.map((figures) => round(figures.late, 4)),
    small_on_time_ratio: gated.map((figures) => round(figures.small, 4)),
    short_on_time_ratio: gated.map((figures) => round(figures.smallShort, 4)),
    recovery_s: measureRecovery(seed, () => true),
    recovery_small_s: measureRecovery(seed, (customer) => customer !== LARGE_CUSTOMER),
    baseline_fifo: {
      goodput_ratio: open.map((figures) => round(figures.goodput / openPeak, 3)),
      late_ratio: open.map((figures) => round(figures.late, 4)),
      small_on_time_ratio: open.map((figures) => round(figures.small, 4)),
    },
  };
}

function simulateLoad(load: number, seed: number, measuredMs: number, isGated: boolean): Outcome[] {
  const endMs = WARM_UP_MS + measuredMs;
  return simulatePhases([{ untilMs: endMs, loadRatio: load }], seed, isGated).filter(
    ({ request }) => request.arrivedAtMs >= WARM_UP_MS && request.arrivedAtMs < endMs,
  );
}

function summarise(outcomes: readonly Outcome[], measuredMs: number) {
  const tokens = (chosen: readonly Outcome[]): number =>
    chosen.reduce((sum, { request }) => sum + request.tokens, 0);
  const ended = (end: RequestEnd): Outcome[] => outcomes.filter((outcome) => outcome.end === end);
  const small = outcomes.filter(({ request }) => request.customer !== LARGE_CUSTOMER);
  const smallShort = small.filter(({ request }) => request.tokens < LONG_TOKENS);
  const onTimeOf = (chosen: readonly Outcome[]): number =>
    chosen.filter(({ end }) => end === 'on_time').length / Math.max(1, chosen.length);
  const admitted = outcomes.length - ended('refused').length;
  return {
    goodput: (tokens(ended('on_time')) * 1_000) / measuredMs / CAPACITY_TOKENS_PER_SEC,
    late: (ended('late').length + ended('unfinished').length) / Math.max(1, admitted),
    small: onTimeOf(small),
    smallShort: onTimeOf(smallShort),
  };
}

/** Time after an overload of 3 until requests that arrive are served on time again. */
function measureRecovery(seed: number, isCounted: (customer: string) => boolean): number {
  const overloadEndMs = 60_000;
  const outcomes = simulatePhases(
    [
      { untilMs: overloadEndMs, loadRatio: 3 },
      { untilMs: overloadEndMs + 60_000, loadRatio: 0.7 },
    ],
    seed,
    true,
  );
  let recoveredMs = 0;
  for (let fromMs = overloadEndMs; fromMs < overloadEndMs + 60_000; fromMs += RECOVERY_STEP_MS) {
    const step = outcomes.filter(
      ({ request }) =>
        isCounted(request.customer) &&
        request.arrivedAtMs >= fromMs &&
        request.arrivedAtMs < fromMs + RECOVERY_STEP_MS,
    );
    const onTime = step.filter(({ end }) => end === 'on_time').length;
    if (onTime < RECOVERED_ON_TIME_RATIO * step.length) {
      recoveredMs = fromMs + RECOVERY_STEP_MS - overloadEndMs;
    }
  }
  return round(recoveredMs / 1_000);
}

function simulatePhases(phases: readonly LoadPhase[], seed: number, isGated: boolean): Outcome[] {
  const random = createRandom(seed);
  const timeline = createTimeline();
  const engines = Array.from({ length: ENGINES }, () => createSimulatedEngine('m', timeline));
  const outcomes: Outcome[] = [];
  const admit = isGated
    ? createControlledAdmission(engines, timeline)
    : createUnlimitedAdmission(engines, timeline);
  const customers = [
    LARGE_CUSTOMER,
    ...Array.from({ length: SMALL_CUSTOMERS }, (_, at) => `small-${at}`),
  ];
  customers.forEach((customer) => {
    let fromMs = 0;
    phases.forEach(({ untilMs, loadRatio }) => {
      const ratio = customerRatio(customer, loadRatio);
      scheduleArrivals(customer, ratio, fromMs, untilMs);
      fromMs = untilMs;
    });
  });

  function scheduleArrivals(
    customer: string,
    ratio: number,
    fromMs: number,
    untilMs: number,
  ): void {
    const gapMs = (1_000 * MEAN_TOKENS) / (ratio * CAPACITY_TOKENS_PER_SEC);
    for (
      let atMs = fromMs + exponential(gapMs, random);
      atMs < untilMs;
      atMs += exponential(gapMs, random)
    ) {
      const outcome: Outcome = {
        request: createRequest(customer, atMs, random),
        end: 'unfinished',
      };
      outcomes.push(outcome);
      timeline.schedule(atMs, () => admit(outcome));
    }
  }

  const lastMs = phases.at(-1)?.untilMs ?? 0;
  timeline.runUntil(lastMs + 120_000);
  return outcomes;
}

/** Below saturation all customers shrink alike; above it only the large one asks for more. */
function customerRatio(customer: string, loadRatio: number): number {
  const smallSum = SMALL_CUSTOMERS * SMALL_CUSTOMER_LOAD_RATIO;
  const scale = Math.min(1, loadRatio);
  if (customer !== LARGE_CUSTOMER) return SMALL_CUSTOMER_LOAD_RATIO * scale;
  return loadRatio - smallSum * scale;
}

function createRequest(customer: string, arrivedAtMs: number, random: Random): Request {
  const isLong = random() < LONG_RATIO;
  const tokens = isLong ? LONG_TOKENS : 1 + Math.floor(exponential(SHORT_MEAN_TOKENS, random));
  const priority = priorityOf(random());
  const deadlineAtMs = arrivedAtMs + 1.2 * (PREFILL_MS + tokens * TOKEN_MS) + DEADLINE_SLACK_MS;
  return { customer, tokens, priority, arrivedAtMs, deadlineAtMs };
}

function priorityOf(draw: number): RoutePriority {
  if (draw < 0.1) return 'urgent';
  return draw < 0.9 ? 'normal' : 'batch';
}

function leastBusy(engines: readonly SimulatedEngine[]): SimulatedEngine | undefined {
  return engines.reduce<SimulatedEngine | undefined>((best, engine) => {
    if (best === undefined) return engine;
    const { running, queued } = engine.report();
    const other = best.report();
    return running + queued < other.running + other.queued ? engine : best;
  }, undefined);
}

function submit(
  outcome: Outcome,
  engines: readonly SimulatedEngine[],
  timeline: Timeline,
  onFirstToken: (delayMs: number, nowMs: number) => void,
  onEnd: (nowMs: number) => void,
): void {
  const { request } = outcome;
  const startedAtMs = timeline.nowMs();
  leastBusy(engines)?.submit({
    promptTokens: PROMPT_TOKENS,
    blockKeys: [],
    outputTokens: request.tokens,
    priority: request.priority,
    onFirstToken: (nowMs) => onFirstToken(nowMs - startedAtMs - PREFILL_MS, nowMs),
    onEnd: (nowMs) => {
      outcome.end = nowMs <= request.deadlineAtMs ? 'on_time' : 'late';
      onEnd(nowMs);
    },
  });
}

/** Sends everything at once; the engines queue without a bound. */
function createUnlimitedAdmission(engines: readonly SimulatedEngine[], timeline: Timeline) {
  return (outcome: Outcome): void =>
    submit(
      outcome,
      engines,
      timeline,
      () => undefined,
      () => undefined,
    );
}

function createControlledAdmission(engines: readonly SimulatedEngine[], timeline: Timeline) {
  const gate: AdmissionController<Outcome> = createAdmissionController({
    queue: { maxWaiting: 512, maxWaitingPerCustomer: 128 },
    concurrency: { initial: 32, min: 4, max: 1_024, targetDelayMs: 100 },
  });

  function perform(effects: readonly AdmissionEffect<Outcome>[]): void {
    effects.forEach((effect) => {
      if (effect.kind === 'refuse') {
        effect.item.end = 'refused';
        return;
      }
      submit(
        effect.item,
        engines,
        timeline,
        (delayMs, nowMs) => perform(gate.onDelay(delayMs, nowMs)),
        (nowMs) => perform(gate.onEnd(nowMs)),
      );
    });
  }

  return (outcome: Outcome): void => {
    const { request } = outcome;
    const effects = gate.submit(
      {
        customer: request.customer,
        weight: 1,
        priority: request.priority,
        deadlineAtMs: request.deadlineAtMs,
        expectedDurationMs: PREFILL_MS + request.tokens * TOKEN_MS,
        cost: request.tokens,
        item: outcome,
      },
      timeline.nowMs(),
    );
    perform(effects);
  };
}
