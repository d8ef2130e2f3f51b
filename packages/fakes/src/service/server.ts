import * as z from 'zod';
import { createHttpServer, readJsonBody, sendError, sendJson } from '@mimosamill/adapters';
import type { Clock, HttpServer } from '@mimosamill/adapters';
import type { ServiceModel } from './model';

const MAX_BODY_BYTES = 1_048_576;
const MAX_RUNNING = 64;

const faultsSchema = z.object({
  /** Delay before the operation runs. */
  delayMs: z.number().default(0),
  /** Delay between the effect of the operation and the answer. */
  answerDelayMs: z.number().default(0),
  /** Share of answers that are lost after the operation took effect. */
  lostAnswerRatio: z.number().default(0),
  /** Share of answers that carry the id of another request. */
  crossedAnswerRatio: z.number().default(0),
});

/** Serves a plain service over HTTP. `POST /faults` sets its faults. */
export function createServiceServer(
  model: ServiceModel,
  clock: Clock,
  random: () => number,
): HttpServer {
  const server = createHttpServer();
  let faults = faultsSchema.parse({});
  let running = 0;

  server.app.get('/load', (_req, res) => {
    const state = model.isLeaving() ? 'leaving' : 'live';
    sendJson(res, 200, { state, running, max_running: MAX_RUNNING });
  });

  server.app.get('/calls/:key', (req, res) => {
    const run = model.find(req.params['key'] ?? '');
    if (run === undefined) sendJson(res, 404, {});
    else sendJson(res, 200, { status: 200, body: run.answer });
  });

  server.app.get('/runs', (_req, res) => {
    sendJson(res, 200, { runs: model.runs() });
  });

  server.app.post('/faults', async (req, res) => {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    if (body.kind === 'error') return sendError(res, body.error);
    faults = faultsSchema.parse(body.json);
    sendJson(res, 200, {});
  });

  server.app.post('/leave', (_req, res) => {
    model.leave();
    sendJson(res, 200, {});
  });

  server.app.post('/:operation', async (req, res) => {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    if (body.kind === 'error') return sendError(res, body.error);
    const isCrossed = random() < faults.crossedAnswerRatio;
    res.setHeader('x-request-id', isCrossed ? 'another' : String(req.headers['x-request-id']));
    res.setHeader('x-attempt', String(req.headers['x-attempt']));
    running += 1;
    res.on('close', () => {
      running -= 1;
    });
    clock.runAfter(faults.delayMs, () => {
      const key = String(req.headers['idempotency-key'] ?? '');
      const outcome = model.run(req.params['operation'] ?? '', key, body.text);
      clock.runAfter(faults.answerDelayMs, () => {
        if (outcome.kind === 'refused') {
          sendJson(res, 503, { error: { code: outcome.code, not_run: true } });
        } else if (random() < faults.lostAnswerRatio) {
          res.destroy();
        } else {
          sendJson(res, 200, JSON.parse(outcome.body));
        }
      });
    });
  });

  return server;
}
