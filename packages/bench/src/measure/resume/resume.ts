import { setTimeout as delay } from 'node:timers/promises';
import { loadHashFunctions } from '@mimosamill/adapters';
import { createRandom, tokenizePrompt, expectedTokenTexts } from '@mimosamill/fakes';
import { readStream } from '../../fleet/caller';
import { startFleet } from '../../fleet/fleet';
import { commitSampleConfig, SAMPLE, SAMPLE_DOMAINS } from '../../fleet/setup';
import { quantileOf, round as roundTo } from '../stats';
import {
  injectEngineFault,
  FAULT_DURATION_MS,
  LOSS_KINDS,
  listRunningRequests,
  readEngineWork,
} from './losses';
import type { HashFunctions } from '@mimosamill/adapters';
import type { CallerResult } from '../../fleet/caller';
import type { EngineSpec, Fleet, FleetNode } from '../../fleet/fleet';
import type { Measurement, MeasureOptions, MeasureResult } from '../measurement';
import type { LossKind } from './losses';

const ENGINES = 6;
const ROUTERS = 3;
/** Enough for every kind to hit at least MIN_LOSSES streams in a few rounds. */
const STREAMS = 200;
const TOKENS = 200;
const LOSS_AT_MS = 700;
const MIN_LOSSES = 60;
const MAX_ROUNDS = 6;
const FULL_LOSSES = 300;
const FULL_ROUNDS = 20;

interface LossFigures {
  readonly losses: number;
  readonly p50_ms: number;
  readonly p95_ms: number;
  readonly max_ms: number;
  readonly tokens_missing: number;
  readonly tokens_repeated: number;
  readonly unfinished: number;
  /** Errors that callers saw, by code and message. */
  readonly errors: Readonly<Record<string, number>>;
  readonly recomputed_tokens_ratio: number;
  readonly extra_work_ratio: number;
  readonly extra_decode_ratio: number;
  /** Restart from the prompt, computed from the same losses. */
  readonly restart_extra_work_ratio: number;
  readonly restart_extra_decode_ratio: number;
}

/** One caller's stream and what the fault did to it. */
interface Stream {
  readonly prompt: string;
  readonly tokenTimesMs: number[];
  result: CallerResult | undefined;
  requestId: string;
  routerIndex: number;
}

interface Tally {
  readonly latenciesMs: number[];
  missingTokens: number;
  repeatedTokens: number;
  unfinishedStreams: number;
  tokensBeforeLoss: number;
  deliveredTokens: number;
  workTokens: number;
  decodeTokens: number;
  idealTokens: number;
  idealDecodeTokens: number;
  restartTokens: number;
  readonly errors: Record<string, number>;
}

/** Resume after every kind of loss, over real processes. */
export const resumeMeasurement: Measurement = {
  name: 'resume',
  summary: 'Latency and extra work of resumes after engines and routers are lost',
  run: measureResume,
};

async function measureResume(options: MeasureOptions): Promise<MeasureResult> {
  const hashes = await loadHashFunctions();
  const random = createRandom(options.seed);
  const fleet = await startFleet({ seed: options.seed, hasRelays: true });
  try {
    const indices = Array.from({ length: ENGINES }, (_, index) => index);
    const engines = await Promise.all(indices.map((index) => fleet.startEngine(engineSpec(index))));
    await configure(fleet);
    const routers: FleetNode[] = [];
    for (let index = 0; index < ROUTERS; index += 1) {
      routers.push(await startRouter(fleet, index));
    }
    await fleet.waitReady(routers);
    const figures: Record<string, LossFigures> = {};
    for (const kind of selectLossKinds(process.env['LOSS_KIND'])) {
      const tally = createTally();
      await measureKind({ fleet, kind, engines, routers, hashes, random, tally }, options);
      figures[kind] = summarise(tally);
    }
    return { streams_per_round: STREAMS, tokens_per_stream: TOKENS, engines: ENGINES, ...figures };
  } finally {
    await fleet.stop();
  }
}

/** All kinds, or the one named in the environment, to look into it. */
function selectLossKinds(name: string | undefined): readonly LossKind[] {
  return name === undefined ? LOSS_KINDS : LOSS_KINDS.filter((kind) => kind === name);
}

function engineSpec(index: number): EngineSpec {
  return {
    id: `engine-${index}`,
    service: SAMPLE.engineService,
    model: SAMPLE.model,
    versions: [SAMPLE.version],
    failureDomain: SAMPLE_DOMAINS[index % SAMPLE_DOMAINS.length] ?? '',
    modelSettings: { baseStepMs: 8, stepMsPerRequest: 0.05, maxRunning: 64 },
  };
}

async function measureKind(round: Round, options: MeasureOptions): Promise<void> {
  const minLosses = options.isFull ? FULL_LOSSES : MIN_LOSSES;
  const maxRounds = options.isFull ? FULL_ROUNDS : MAX_ROUNDS;
  for (let no = 0; no < maxRounds && round.tally.latenciesMs.length < minLosses; no += 1) {
    await runRound(round);
  }
}

async function configure(fleet: Fleet): Promise<void> {
  const defaults = { requestsPerSec: 10_000, tokensPerSec: 10_000_000, concurrentStreams: 10_000 };
  await commitSampleConfig(fleet, [{ kind: 'set_defaults', defaults }]);
}

function startRouter(fleet: Fleet, index: number): Promise<FleetNode> {
  const failureDomain = SAMPLE_DOMAINS[index % SAMPLE_DOMAINS.length] ?? '';
  return fleet.startRouter({ id: `router-${index}`, failureDomain });
}

function createTally(): Tally {
  return {
    latenciesMs: [],
    missingTokens: 0,
    repeatedTokens: 0,
    unfinishedStreams: 0,
    tokensBeforeLoss: 0,
    deliveredTokens: 0,
    workTokens: 0,
    decodeTokens: 0,
    idealTokens: 0,
    idealDecodeTokens: 0,
    restartTokens: 0,
    errors: {},
  };
}

interface Round {
  readonly fleet: Fleet;
  readonly kind: LossKind;
  readonly engines: FleetNode[];
  readonly routers: FleetNode[];
  readonly hashes: HashFunctions;
  readonly random: () => number;
  readonly tally: Tally;
}

async function runRound(round: Round): Promise<void> {
  const { fleet, kind, engines, tally } = round;
  const before = await totalWork(fleet, engines);
  const streams: Stream[] = [];
  const readers = Array.from({ length: STREAMS }, () => startStream(round, streams));
  await delay(LOSS_AT_MS);
  const lost = await injectLoss(round, streams);
  await Promise.all(readers);
  await lost.repair();
  const after = await totalWork(fleet, engines);
  const decoded = after.decode + lost.work.decode - before.decode;
  tally.decodeTokens += decoded;
  tally.workTokens += decoded + after.prefill + lost.work.prefill - before.prefill;
  streams.forEach((stream) => tallyStream(round, stream, lost.requestIds, lost.atMs));
  if (kind === 'kill' || kind === 'domain') await replaceDead(round);
  if (kind === 'router') await replaceDeadRouter(round);
}

function startStream(round: Round, streams: Stream[]): Promise<void> {
  const { fleet, routers, random } = round;
  const first = Math.floor(random() * routers.length);
  const prompt = `Rib ${Math.floor(random() * 1e9)} has lifted from the base ring, what now?`;
  const stream: Stream = {
    prompt,
    tokenTimesMs: [],
    result: undefined,
    requestId: '',
    routerIndex: first,
  };
  streams.push(stream);
  return readStream({
    dispatcher: fleet.http.dispatcher,
    key: SAMPLE.key,
    body: { model: SAMPLE.model, prompt, max_tokens: TOKENS },
    routerFor: (connection) => routers[(first + connection) % routers.length]?.address,
    onOpen: (requestId) => {
      stream.requestId = requestId;
    },
    onToken: () => stream.tokenTimesMs.push(performance.now()),
  }).then((result) => {
    stream.result = result;
  });
}

interface InjectedLoss {
  readonly atMs: number;
  readonly requestIds: ReadonlySet<string>;
  /** Work of engines that took their counters with them. */
  readonly work: Work;
  readonly repair: () => Promise<void>;
}

async function injectLoss(round: Round, streams: readonly Stream[]): Promise<InjectedLoss> {
  const { fleet, kind, engines, routers, random } = round;
  if (kind === 'router') {
    const index = Math.floor(random() * routers.length);
    const requestIds = streams.filter((each) => each.routerIndex === index).map((e) => e.requestId);
    const atMs = performance.now();
    await routers[index]?.process.kill();
    return { atMs, requestIds: new Set(requestIds), work: NO_WORK, repair: noRepair };
  }
  const victims = kind === 'domain' ? pickDomain(engines, random) : [pick(engines, random)];
  const running = await Promise.all(victims.map((engine) => listRunningRequests(fleet, engine)));
  const isDeadly = kind === 'kill' || kind === 'domain';
  const work = isDeadly ? await totalWork(fleet, victims) : NO_WORK;
  const atMs = performance.now();
  const way = kind === 'domain' ? 'kill' : kind;
  const repairs = await Promise.all(victims.map((engine) => injectEngineFault(fleet, way, engine)));
  const repair = async (): Promise<void> => {
    await delay(Math.max(0, atMs + FAULT_DURATION_MS - performance.now()));
    await Promise.all(repairs.map((fn) => fn()));
  };
  const requestIds = new Set(running.flat());
  return { atMs, requestIds, work, repair: isDeadly ? noRepair : repair };
}

function noRepair(): Promise<void> {
  return Promise.resolve();
}

function pick<T>(items: readonly T[], random: () => number): T {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
}

function pickDomain(engines: readonly FleetNode[], random: () => number): FleetNode[] {
  const { failureDomain } = pick(engines, random);
  return engines.filter((engine) => engine.failureDomain === failureDomain);
}

interface Work {
  readonly prefill: number;
  readonly decode: number;
}

const NO_WORK: Work = { prefill: 0, decode: 0 };

async function totalWork(fleet: Fleet, engines: readonly FleetNode[]): Promise<Work> {
  const alive = engines.filter((engine) => engine.process.isRunning());
  const works = await Promise.all(alive.map((engine) => readEngineWork(fleet, engine)));
  return works.reduce(
    (sum, work) => ({
      prefill: sum.prefill + work.prefill_tokens,
      decode: sum.decode + work.decode_tokens,
    }),
    NO_WORK,
  );
}

/** Compares a stream with the answer it should be, and takes its longest wait after the loss. */
function tallyStream(
  round: Round,
  stream: Stream,
  lostIds: ReadonlySet<string>,
  atMs: number,
): void {
  const { hashes, tally } = round;
  const { prompt, result } = stream;
  const source = { model: SAMPLE.model, version: SAMPLE.version, adapter: '', prompt, seed: 0 };
  const expected = expectedTokenTexts(source, TOKENS, hashes.hash32);
  const texts = result?.texts ?? [];
  tally.deliveredTokens += texts.length;
  tally.idealTokens += TOKENS + tokenizePrompt(prompt).length;
  tally.idealDecodeTokens += TOKENS;
  if (result?.end !== 'done') {
    tally.unfinishedStreams += 1;
    const [, code = result?.end ?? 'none', message = ''] =
      /"code":"(\w+)","message":"([^"]*)"/u.exec(result?.error ?? '') ?? [];
    const key = `${code}: ${message}`;
    tally.errors[key] = (tally.errors[key] ?? 0) + 1;
  }
  tally.missingTokens += expected.filter((text, index) => texts[index] !== text).length;
  tally.repeatedTokens += (result?.misnumbered ?? 0) + Math.max(0, texts.length - expected.length);
  if (!lostIds.has(stream.requestId)) return;
  const before = stream.tokenTimesMs.filter((timeMs) => timeMs <= atMs).length;
  tally.tokensBeforeLoss += before;
  tally.restartTokens += before + tokenizePrompt(prompt).length;
  tally.latenciesMs.push(longestWaitMs(stream.tokenTimesMs, atMs));
}

/** The longest gap that ends after the loss. */
function longestWaitMs(timesMs: readonly number[], atMs: number): number {
  let longestMs = 0;
  timesMs.forEach((timeMs, index) => {
    const previousMs = timesMs[index - 1] ?? atMs;
    if (timeMs > atMs) longestMs = Math.max(longestMs, timeMs - previousMs);
  });
  return longestMs;
}

async function replaceDead(round: Round): Promise<void> {
  const { fleet, engines, routers } = round;
  for (const [index, engine] of engines.entries()) {
    if (!engine.process.isRunning()) engines[index] = await fleet.startEngine(engineSpec(index));
  }
  // The routers have to hear of the new addresses through the host list.
  await delay(2_000);
  await fleet.waitReady(routers);
}

async function replaceDeadRouter(round: Round): Promise<void> {
  const { fleet, routers } = round;
  for (const [index, router] of routers.entries()) {
    if (!router.process.isRunning()) routers[index] = await startRouter(fleet, index);
  }
  await fleet.waitReady(routers);
}

function summarise(tally: Tally): LossFigures {
  const { latenciesMs, idealTokens } = tally;
  return {
    losses: latenciesMs.length,
    p50_ms: roundTo(quantileOf(latenciesMs, 0.5), 0),
    p95_ms: roundTo(quantileOf(latenciesMs, 0.95), 0),
    max_ms: roundTo(Math.max(0, ...latenciesMs), 0),
    tokens_missing: tally.missingTokens,
    tokens_repeated: tally.repeatedTokens,
    unfinished: tally.unfinishedStreams,
    errors: tally.errors,
    recomputed_tokens_ratio: roundTo(
      Math.max(0, tally.workTokens - idealTokens) / Math.max(1, tally.deliveredTokens),
      4,
    ),
    extra_work_ratio: roundTo((tally.workTokens - idealTokens) / idealTokens, 4),
    extra_decode_ratio: roundTo(tally.decodeTokens / tally.idealDecodeTokens - 1, 4),
    restart_extra_work_ratio: roundTo(tally.restartTokens / idealTokens, 4),
    restart_extra_decode_ratio: roundTo(tally.tokensBeforeLoss / tally.idealDecodeTokens, 4),
  };
}
