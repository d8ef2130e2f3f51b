import { setTimeout as wait } from 'node:timers/promises';
import { readStream } from '../fleet/caller';
import { startFleet } from '../fleet/fleet';
import {
  commitSampleConfig,
  SAMPLE,
  SAMPLE_DOMAINS,
  startEngines,
  startRouters,
} from '../fleet/setup';
import type { CallerResult } from '../fleet/caller';
import type { Fleet, FleetNode } from '../fleet/fleet';

/** Effect of requests that crash engines (culprits) on real engine processes and other streams. */
export interface PoisonProcessResult {
  readonly engines: number;
  readonly culprits: number;
  readonly culprits_condemned: number;
  readonly engines_lost_per_culprit_max: number;
  readonly innocents: number;
  readonly innocent_failed: number;
  /** Longest gap between two tokens of one stream. */
  readonly innocent_gap_max_ms: number;
}

const POISON_MARKER = 'overclamped';
const ENGINES = 12;
const CULPRITS = 2;
const STREAMS = 24;
const TOKENS = 300;
const STEP_MS = 12;
const CULPRIT_RESENDS = 6;
const RESEND_INTERVAL_MS = 500;
const STREAM_START_MS = 1_000;

export async function measurePoisonProcesses(seed: number): Promise<PoisonProcessResult> {
  const fleet = await startFleet({ seed });
  try {
    const domains = Array.from(
      { length: ENGINES },
      (_, index) => SAMPLE_DOMAINS[index % SAMPLE_DOMAINS.length] ?? '',
    );
    const engines = await startEngines(fleet, domains, {
      baseStepMs: STEP_MS,
      poisonMarker: POISON_MARKER,
      poisonAfterTokens: 20,
    });
    await commitSampleConfig(fleet);
    const routers = await startRouters(fleet);
    return await runRounds(fleet, engines, routers);
  } finally {
    await fleet.stop();
  }
}

async function runRounds(
  fleet: Fleet,
  engines: readonly FleetNode[],
  routers: readonly FleetNode[],
): Promise<PoisonProcessResult> {
  const send = (router: number, prompt: string): Promise<CallerResult> =>
    readStream({
      dispatcher: fleet.http.dispatcher,
      key: SAMPLE.key,
      body: { model: 'guide', prompt, max_tokens: TOKENS },
      routerFor: (connection) => routers[(router + connection) % routers.length]?.address,
    });
  const countDead = (): number => engines.filter(({ process }) => !process.isRunning()).length;
  const lostPerCulprit: number[] = [];
  const innocents: Promise<CallerResult>[] = [];
  let condemned = 0;
  for (let culprit = 0; culprit < CULPRITS; culprit += 1) {
    const deadBefore = countDead();
    for (let stream = 0; stream < STREAMS; stream += 1) {
      innocents.push(sendAdmitted(() => send(stream, `stream ${stream} of round ${culprit}`)));
    }
    await wait(STREAM_START_MS);
    const answers = await sendCulprit((router) => send(router, `${POISON_MARKER} ${culprit}`));
    await Promise.all(innocents);
    lostPerCulprit.push(countDead() - deadBefore);
    condemned += answers.some(({ error }) => error.includes('request_condemned')) ? 1 : 0;
  }
  const results = await Promise.all(innocents);
  return {
    engines: ENGINES,
    culprits: CULPRITS,
    culprits_condemned: condemned,
    engines_lost_per_culprit_max: Math.max(...lostPerCulprit),
    innocents: results.length,
    innocent_failed: results.filter(isFailed).length,
    innocent_gap_max_ms: Math.round(Math.max(...results.flatMap(({ gapsMs }) => gapsMs.slice(1)))),
  };
}

/** Resends a stream that was refused over the customer's limit, because it did not run. */
async function sendAdmitted(send: () => Promise<CallerResult>): Promise<CallerResult> {
  for (;;) {
    const result = await send();
    if (!result.error.includes('over_limit')) return result;
    await wait(RESEND_INTERVAL_MS);
  }
}

/** Resends the culprit at a fixed interval, through two routers each time. */
async function sendCulprit(
  send: (router: number) => Promise<CallerResult>,
): Promise<CallerResult[]> {
  const answers = [send(0)];
  for (let resend = 1; resend <= CULPRIT_RESENDS; resend += 1) {
    await wait(RESEND_INTERVAL_MS);
    answers.push(send(resend), send(resend + 1));
  }
  return Promise.all(answers);
}

function isFailed({ end, texts, misnumbered }: CallerResult): boolean {
  return end !== 'done' || texts.length !== TOKENS || misnumbered > 0;
}
