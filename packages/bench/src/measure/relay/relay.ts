import { request } from 'undici';
import { findFreePort } from '@mimosamill/fakes';
import { startFleet } from '../../fleet/fleet';
import { startBinary } from '../../fleet/process';
import { commitSampleConfig, SAMPLE, startEngines } from '../../fleet/setup';
import { medianOf, quantileOf, round } from '../stats';
import type { Fleet } from '../../fleet/fleet';
import type { Measurement, MeasureOptions, MeasureResult } from '../measurement';

const PROMPT = 'Which clamp for the fourth rib?';
const ENGINES = 3;
const STREAMS = 96;
const TOKENS = 1_200;
const ROUNDS = 3;
const FULL_ROUNDS = 9;
const LIGHT_REQUESTS = 400;
const LIGHT_STREAMS = 4;

interface Round {
  readonly tokensPerSec: number;
  readonly cpuUsPerToken: number;
  readonly firstTokenMs: readonly number[];
  readonly residentBytes: number;
}

interface Target {
  readonly address: string;
  readonly body: string;
}

/**
 * Compares a router with a plain pass-through relay in the same run: CPU time per streamed token,
 * throughput and the delay of the first token.
 */
export const relayMeasurement: Measurement = {
  name: 'relay',
  summary: 'CPU per streamed token at one router, compared with a plain pass-through',
  run: measureRelay,
};

async function measureRelay(options: MeasureOptions): Promise<MeasureResult> {
  const fleet = await startFleet({ seed: options.seed });
  try {
    const targets = await startTargets(fleet);
    const routerRounds: Round[] = [];
    const baselineRounds: Round[] = [];
    // Warm-up rounds, so that both programs run compiled code when they are measured.
    await runRound(fleet, targets.router);
    await runRound(fleet, targets.baseline);
    const idleBytes = await readMetric(fleet, targets.router, 'process_resident_memory_bytes');
    const rounds = options.isFull ? FULL_ROUNDS : ROUNDS;
    for (let index = 0; index < rounds; index += 1) {
      routerRounds.push(await runRound(fleet, targets.router));
      baselineRounds.push(await runRound(fleet, targets.baseline));
    }
    const light = {
      routerMs: await runLightLoad(fleet, targets.router),
      baselineMs: await runLightLoad(fleet, targets.baseline),
    };
    return { ...summarise(routerRounds, baselineRounds, idleBytes), ...summariseLight(light) };
  } finally {
    await fleet.stop();
  }
}

async function startTargets(fleet: Fleet): Promise<{ router: Target; baseline: Target }> {
  const domains = Array.from({ length: ENGINES }, () => 'marka');
  const modelSettings = { baseStepMs: 1, stepMsPerRequest: 0, maxRunning: 256 };
  const engines = await startEngines(fleet, domains, modelSettings);
  await commitSampleConfig(fleet, [
    {
      kind: 'set_defaults',
      defaults: { requestsPerSec: 10_000, tokensPerSec: 100_000_000, concurrentStreams: 10_000 },
    },
  ]);
  const router = await fleet.startRouter({ id: 'router-0', failureDomain: 'marka' });
  const port = await findFreePort();
  const baseline = await startBinary('baseline-relay', 'baseline', {
    ip: '127.0.0.1',
    port,
    engines: engines.map(({ address }) => address),
  });
  fleet.addProcess(baseline);
  await fleet.waitReady([router]);
  const body = { model: SAMPLE.model, prompt: PROMPT, max_tokens: TOKENS, stream: true };
  return {
    router: { address: router.address, body: JSON.stringify(body) },
    baseline: {
      address: `127.0.0.1:${port}`,
      body: JSON.stringify({ ...body, request_id: '', attempt: 1, version: SAMPLE.version }),
    },
  };
}

/** Requests short answers, a few at a time, to time the first token of an unsaturated target. */
async function runLightLoad(fleet: Fleet, target: Target): Promise<number[]> {
  const short = { ...target, body: target.body.replace(`:${TOKENS}`, ':4') };
  const firstTokenMs: number[] = [];
  while (firstTokenMs.length < LIGHT_REQUESTS) {
    const answers = Array.from({ length: LIGHT_STREAMS }, () => readAnswer(fleet, short));
    firstTokenMs.push(...(await Promise.all(answers)));
  }
  return firstTokenMs;
}

function summariseLight(light: { routerMs: readonly number[]; baselineMs: readonly number[] }) {
  const addedMs = quantileOf(light.routerMs, 0.95) - quantileOf(light.baselineMs, 0.95);
  return { added_first_token_ms_p95: round(addedMs) };
}

let requestNo = 0;

async function runRound(fleet: Fleet, target: Target): Promise<Round> {
  const cpuBefore = await readMetric(fleet, target, 'process_cpu_seconds_total');
  const startedMs = performance.now();
  const firstTokenMs = await Promise.all(
    Array.from({ length: STREAMS }, () => readAnswer(fleet, target)),
  );
  const seconds = (performance.now() - startedMs) / 1_000;
  const cpuSeconds = (await readMetric(fleet, target, 'process_cpu_seconds_total')) - cpuBefore;
  const tokens = STREAMS * TOKENS;
  return {
    tokensPerSec: tokens / seconds,
    cpuUsPerToken: (cpuSeconds * 1e6) / tokens,
    firstTokenMs,
    residentBytes: await readMetric(fleet, target, 'process_resident_memory_bytes'),
  };
}

/** Reads a whole answer without parsing it and returns the time to its first byte. */
async function readAnswer(fleet: Fleet, target: Target): Promise<number> {
  requestNo += 1;
  const startedMs = performance.now();
  const answer = await request(`http://${target.address}/v1/completions`, {
    dispatcher: fleet.http.dispatcher,
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${SAMPLE.key}` },
    body: target.body.replace('"request_id":""', `"request_id":"r${requestNo}"`),
  });
  let firstMs = 0;
  let tail = '';
  for await (const chunk of answer.body) {
    if (firstMs === 0) firstMs = performance.now() - startedMs;
    tail = (tail + (chunk as Buffer).toString('latin1')).slice(-64);
  }
  if (!tail.includes('[DONE]')) throw new Error(`answer lacks [DONE]: ${tail}`);
  return firstMs;
}

async function readMetric(fleet: Fleet, target: Target, name: string): Promise<number> {
  const answer = await fleet.http.fetch(`http://${target.address}/metrics`, {
    method: 'GET',
    timeoutMs: 5_000,
  });
  if (answer.kind !== 'ok') throw new Error(answer.message);
  const line = answer.body.split('\n').find((text) => text.startsWith(`${name} `));
  return Number(line?.split(' ')[1]);
}

function summarise(
  routerRounds: readonly Round[],
  baselineRounds: readonly Round[],
  idleBytes: number,
): MeasureResult {
  const cpuUs = medianOf(routerRounds.map((entry) => entry.cpuUsPerToken));
  const baselineUs = medianOf(baselineRounds.map((entry) => entry.cpuUsPerToken));
  const firstMs = quantileOf(
    routerRounds.flatMap((entry) => entry.firstTokenMs),
    0.95,
  );
  const baselineFirstMs = quantileOf(
    baselineRounds.flatMap((entry) => entry.firstTokenMs),
    0.95,
  );
  const peakBytes = Math.max(...routerRounds.map((entry) => entry.residentBytes));
  return {
    rounds: routerRounds.length,
    streams: STREAMS,
    tokens_per_stream: TOKENS,
    tokens_per_sec: round(medianOf(routerRounds.map((entry) => entry.tokensPerSec)), 0),
    baseline_tokens_per_sec: round(medianOf(baselineRounds.map((entry) => entry.tokensPerSec)), 0),
    cpu_us_per_token: round(cpuUs),
    baseline_cpu_us_per_token: round(baselineUs),
    ratio: round(cpuUs / baselineUs),
    tokens_per_sec_per_core: round(1e6 / cpuUs, 0),
    saturated_added_first_token_ms_p95: round(firstMs - baselineFirstMs),
    memory_kb_per_open_stream: round(Math.max(0, peakBytes - idleBytes) / STREAMS / 1_024, 1),
  };
}
