import { cac } from 'cac';
import * as z from 'zod';
import {
  loadHashFunctions,
  createHttpClient,
  createSystemClock,
  runProgram,
} from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import { createRandom } from '../random';
import { createEngineModel, DEFAULT_ENGINE_MODEL } from './model';
import { createEngineServer } from './server';
import type { Clock, LoadedModel, ProgramOptions, RunningProgram } from '@mimosamill/adapters';
import type { EngineId } from '@mimosamill/core';

const WEIGHT_FETCH_TIMEOUT_MS = 120_000;
const IDLE_POLL_INTERVAL_MS = 20;

const versionFaultSchema = z.object({
  kind: z.enum(['fails', 'slow']),
  failureRatio: z.number().default(1),
  factor: z.number().default(1),
  afterMs: z.number().default(0),
  minRunning: z.number().default(0),
  adapter: z.string().default(''),
});

const settingsSchema = z.strictObject({
  engineId: z.string(),
  ip: z.string(),
  port: z.number(),
  /** Address of the platform stand-in, for weights; empty to load at once. */
  platform: z.string().default(''),
  seed: z.number().default(1),
  orphanMs: z.number().default(30_000),
  /** Between announcing that the engine leaves and its earliest end. */
  leaveNoticeMs: z.number().default(1_000),
  loaded: z.array(
    z.object({ model: z.string(), version: z.string(), adapters: z.array(z.string()) }),
  ),
  model: z
    .object({
      fencing: z.enum(['enforced', 'ignored']),
      maxRunning: z.number(),
      baseStepMs: z.number(),
      stepMsPerRequest: z.number(),
      prefillTokensPerStep: z.number(),
      cacheBlocks: z.number(),
      loadLagMs: z.number(),
      poisonMarker: z.string(),
      poisonAfterTokens: z.number(),
      versionFaults: z.record(z.string(), versionFaultSchema),
    })
    .partial()
    .default({}),
});

async function start(settings: z.infer<typeof settingsSchema>): Promise<RunningProgram> {
  const clock = createSystemClock();
  const { hash32 } = await loadHashFunctions();
  const http = createHttpClient();
  const model = createEngineModel(
    {
      ...DEFAULT_ENGINE_MODEL,
      ...settings.model,
      engineId: asId<EngineId>(settings.engineId),
      loaded: settings.loaded,
    } as Parameters<typeof createEngineModel>[0],
    hash32,
  );
  const fetchWeights = async (entry: LoadedModel): Promise<void> => {
    if (settings.platform === '') return;
    const url = `http://${settings.platform}/weights/${entry.model}/${entry.version}/fetch`;
    await http.fetch(url, { method: 'POST', timeoutMs: WEIGHT_FETCH_TIMEOUT_MS });
  };
  const server = createEngineServer({
    model,
    clock,
    random: createRandom(settings.seed),
    fetchWeights,
    // A crash takes the whole process, with every request on it.
    onCrash: () => process.exit(1),
    orphanMs: settings.orphanMs,
  });
  await server.listen(settings.ip, settings.port);
  process.stdout.write('ready\n');
  return {
    stop: async () => {
      model.leave();
      // Routers hear of it by the load report, which is served until the work is done.
      await sleep(clock, settings.leaveNoticeMs);
      while (!model.isIdle()) await sleep(clock, IDLE_POLL_INTERVAL_MS);
      await server.drain(settings.orphanMs);
      await http.close();
    },
  };
}

function sleep(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.runAfter(delayMs, resolve);
  });
}

const cli = cac('fake-engine');
cli
  .command('', 'Serve the engine stand-in')
  .option('--config <file>', 'Settings file')
  .option('--check-config', 'Check the settings and exit')
  .action((options: ProgramOptions) => runProgram(options, settingsSchema, start));
cli.help();
cli.parse();
