import { cac } from 'cac';
import { request } from 'undici';
import * as z from 'zod';
import {
  createHttpClient,
  createHttpServer,
  createMetrics,
  readJsonBody,
  runProgram,
  sendError,
  sendText,
} from '@mimosamill/adapters';
import type { ProgramOptions, RunningProgram } from '@mimosamill/adapters';

const MAX_BODY_BYTES = 1_048_576;

const settingsSchema = z.strictObject({
  ip: z.string(),
  port: z.number(),
  engines: z.array(z.string()),
});

/**
 * A relay without journal, retries or checks, built on the same libraries as the router: the
 * baseline for the router's CPU time per token.
 */
async function start(settings: z.infer<typeof settingsSchema>): Promise<RunningProgram> {
  const http = createHttpClient();
  const metrics = createMetrics();
  const server = createHttpServer();
  let next = 0;

  server.app.post('/v1/completions', async (req, res) => {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    if (body.kind === 'error') return sendError(res, body.error);
    const engine = settings.engines[next % settings.engines.length] ?? '';
    next += 1;
    const answer = await request(`http://${engine}/v1/completions`, {
      dispatcher: http.dispatcher,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: body.text,
    });
    res.writeHead(answer.statusCode, { 'content-type': 'text/event-stream' });
    answer.body.pipe(res);
  });

  server.app.get('/metrics', async (_req, res) => {
    sendText(res, 200, metrics.contentType, await metrics.text());
  });

  await server.listen(settings.ip, settings.port);
  process.stdout.write('ready\n');
  return { stop: server.close };
}

const cli = cac('baseline-relay');
cli
  .command('', 'Pass streams through without any guarantee')
  .option('--config <file>', 'Settings file')
  .action((options: ProgramOptions) => runProgram(options, settingsSchema, start));
cli.help();
cli.parse();
