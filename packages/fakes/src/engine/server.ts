import * as z from 'zod';
import {
  createHttpServer,
  DEFAULT_HTTP_LIMITS,
  readJsonBody,
  sendError,
  sendJson,
} from '@mimosamill/adapters';
import type { ServerResponse } from 'node:http';
import type { AttemptNo, RequestId } from '@mimosamill/core';
import type { Clock, GenerateRequest, HttpServer, LoadedModel } from '@mimosamill/adapters';
import type { EngineModel, EngineOutput } from './model';

const MAX_BODY_BYTES = 4_194_304;

const requestSchema = z.object({
  request_id: z.string(),
  attempt: z.number(),
  model: z.string(),
  version: z.string(),
  adapter: z.string().default(''),
  prompt: z.string(),
  /** Tokens that earlier attempts generated; the output starts after them. */
  prefix: z.array(z.string()).default([]),
  max_tokens: z.number().int().positive(),
  seed: z.number().default(0),
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal'),
});
const orderSchema = z.object({
  order_id: z.string(),
  fencing_number: z.number(),
  target: z.object({
    loaded: z.array(
      z.object({ model: z.string(), version: z.string(), adapters: z.array(z.string()) }),
    ),
    role: z.enum(['mixed', 'prefill', 'decode']),
  }),
});
const slowFactorSchema = z.object({ factor: z.number().positive() });
const cancelSchema = z.object({ attempt: z.number() });

export interface EngineServerOptions {
  readonly model: EngineModel;
  readonly clock: Clock;
  readonly random: () => number;
  /** Fetches the weights of a model version; resolves when they are loaded. */
  readonly fetchWeights: (entry: LoadedModel) => Promise<void>;
  /** Called when a request crashes the engine. */
  readonly onCrash: () => void;
  /** How long a request runs on after its reader has disconnected, so that another can attach. */
  readonly orphanMs: number;
}

interface StreamReader {
  readonly res: ServerResponse;
  readonly attemptNo: AttemptNo;
}

/** Serves an engine model over HTTP and runs its steps in real time. */
export function createEngineServer(options: EngineServerOptions): HttpServer {
  const { model, clock, random } = options;
  const server = createHttpServer({ ...DEFAULT_HTTP_LIMITS, maxBodyBytes: MAX_BODY_BYTES });
  const readers = new Map<RequestId, StreamReader>();
  /** Functions that stop the timer after which a request without a reader is cancelled. */
  const orphanTimers = new Map<RequestId, () => void>();
  let isStepScheduled = false;

  function scheduleStep(): void {
    if (isStepScheduled) return;
    const delayMs = model.nextStepMs();
    if (delayMs === undefined) return;
    isStepScheduled = true;
    clock.runAfter(delayMs, () => {
      isStepScheduled = false;
      model.step(clock.nowMs(), random).forEach(sendOutput);
      scheduleStep();
    });
  }

  function sendOutput(output: EngineOutput): void {
    const reader = readers.get(output.requestId);
    switch (output.kind) {
      case 'token':
        if (reader !== undefined) writeToken(reader, output.requestId, output.index, output.text);
        break;
      case 'finish':
        if (reader !== undefined) writeFinish(reader, output.requestId);
        readers.delete(output.requestId);
        break;
      case 'failed':
        reader?.res.destroy();
        readers.delete(output.requestId);
        break;
      case 'crash':
        options.onCrash();
        break;
      default:
        output satisfies never;
    }
  }

  function attachReader(requestId: RequestId, reader: StreamReader): void {
    readers.get(requestId)?.res.destroy();
    readers.set(requestId, reader);
    orphanTimers.get(requestId)?.();
    orphanTimers.delete(requestId);
    reader.res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' });
    reader.res.flushHeaders();
    reader.res.on('close', () => onReaderDisconnected(requestId, reader));
  }

  function onReaderDisconnected(requestId: RequestId, reader: StreamReader): void {
    if (readers.get(requestId) !== reader) return;
    readers.delete(requestId);
    const cancelTimer = clock.runAfter(options.orphanMs, () => {
      orphanTimers.delete(requestId);
      model.cancel(requestId, reader.attemptNo);
    });
    orphanTimers.set(requestId, cancelTimer);
  }

  server.app.post('/v1/completions', async (req, res) => {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    if (body.kind === 'error') return sendError(res, body.error);
    const parsed = requestSchema.safeParse(body.json);
    if (!parsed.success) return sendErrorCode(res, 400, 'bad_request');
    const request = toRequest(parsed.data);
    const outcome = model.submit(request, clock.nowMs());
    if (outcome.kind === 'refused') return sendErrorCode(res, 503, outcome.cause);
    attachReader(request.requestId, { res, attemptNo: request.attemptNo });
    scheduleStep();
  });

  server.app.get('/v1/requests/:id/stream', (req, res) => {
    const requestId = req.params['id'] as RequestId;
    const progress = model.findRequest(requestId);
    const from = Number(req.query['from'] ?? 0);
    if (progress === undefined || from > progress.tokens.length) {
      return sendErrorCode(res, 404, 'unknown_request');
    }
    const reader: StreamReader = { res, attemptNo: Number(req.query['attempt']) as AttemptNo };
    attachReader(requestId, reader);
    progress.tokens.slice(from).forEach((text, offset) => {
      writeToken(reader, requestId, from + offset, text);
    });
    if (progress.state !== 'finished') return;
    writeFinish(reader, requestId);
    readers.delete(requestId);
  });

  server.app.post('/v1/requests/:id/cancel', async (req, res) => {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    if (body.kind === 'error') return sendError(res, body.error);
    const parsed = cancelSchema.safeParse(body.json);
    if (!parsed.success) return sendErrorCode(res, 400, 'bad_request');
    model.cancel(req.params['id'] as RequestId, parsed.data.attempt as AttemptNo);
    sendJson(res, 200, {});
  });

  server.app.post('/v1/orders', async (req, res) => {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    if (body.kind === 'error') return sendError(res, body.error);
    const parsed = orderSchema.safeParse(body.json);
    if (!parsed.success) return sendErrorCode(res, 400, 'bad_request');
    const { order_id: orderId, fencing_number: fencingNumber, target } = parsed.data;
    const result = model.applyOrder({ orderId, fencingNumber, target });
    if (result.kind === 'stale') {
      const { highestFencingNumber } = result;
      sendJson(res, 409, {
        error: { code: 'stale', highest_fencing_number: highestFencingNumber },
      });
      return;
    }
    result.versionsToFetch.forEach((entry) => {
      void loadWeights(entry);
    });
    sendJson(res, 200, {});
  });

  async function loadWeights(entry: LoadedModel): Promise<void> {
    await options.fetchWeights(entry);
    model.onWeightsLoaded(entry.model, entry.version, clock.nowMs());
  }

  server.app.get('/v1/load', (_req, res) => {
    const report = model.reportLoad(clock.nowMs());
    sendJson(res, 200, {
      engine_id: report.engineId,
      state: report.state,
      role: report.role,
      running: report.running,
      queued: report.queued,
      max_running: report.maxRunning,
      cache_used_ratio: report.cacheUsedRatio,
      step_ms: report.stepMs,
      loaded: report.loaded,
      report_age_ms: report.reportAgeMs,
    });
  });

  server.app.get('/v1/cache-events', (req, res) => {
    const batch = model.cacheEvents(Number(req.query['after'] ?? 0), clock.nowMs(), random);
    sendJson(res, 200, {
      oldest_seq: batch.oldestSeq,
      latest_seq: batch.latestSeq,
      events: batch.events.map(({ seq, kind, blockHash }) => ({
        seq,
        kind,
        block_hash: blockHash,
      })),
    });
  });

  server.app.get('/v1/cache-snapshot', (_req, res) => {
    const { asOfSeq, blockHashes } = model.cacheSnapshot();
    sendJson(res, 200, { as_of_seq: asOfSeq, block_hashes: blockHashes });
  });

  server.app.get('/v1/state', (_req, res) => {
    const { engineId, target, loaded, loading, highestFencingNumber } = model.state();
    sendJson(res, 200, {
      engine_id: engineId,
      target,
      loaded,
      loading,
      highest_fencing_number: highestFencingNumber,
    });
  });

  server.app.get('/v1/work', (_req, res) => {
    const { prefillTokens, cachedTokens, decodeTokens } = model.workCounters();
    sendJson(res, 200, {
      prefill_tokens: prefillTokens,
      cached_tokens: cachedTokens,
      decode_tokens: decodeTokens,
    });
  });

  server.app.get('/v1/running', (_req, res) => {
    sendJson(res, 200, { request_ids: model.runningRequestIds() });
  });

  server.app.post('/v1/slow-factor', async (req, res) => {
    const body = await readJsonBody(req, MAX_BODY_BYTES);
    if (body.kind === 'error') return sendError(res, body.error);
    const parsed = slowFactorSchema.safeParse(body.json);
    if (!parsed.success) return sendErrorCode(res, 400, 'bad_request');
    model.setSlowFactor(parsed.data.factor);
    sendJson(res, 200, {});
  });

  return server;
}

function writeToken(reader: StreamReader, requestId: RequestId, index: number, text: string): void {
  const { attemptNo: attempt } = reader;
  reader.res.write(`data: ${JSON.stringify({ request_id: requestId, attempt, index, text })}\n\n`);
}

function writeFinish(reader: StreamReader, requestId: RequestId): void {
  const { attemptNo: attempt } = reader;
  const finish = { request_id: requestId, attempt, finish_reason: 'length' };
  reader.res.end(`data: ${JSON.stringify(finish)}\n\ndata: [DONE]\n\n`);
}

function sendErrorCode(res: ServerResponse, status: number, code: string): void {
  sendJson(res, status, { error: { code } });
}

function toRequest(body: z.infer<typeof requestSchema>): GenerateRequest {
  return {
    requestId: body.request_id as RequestId,
    attemptNo: body.attempt as AttemptNo,
    model: body.model,
    version: body.version,
    adapter: body.adapter,
    prompt: body.prompt,
    generatedTokens: body.prefix,
    maxTokens: body.max_tokens,
    seed: body.seed,
    priority: body.priority,
  };
}
