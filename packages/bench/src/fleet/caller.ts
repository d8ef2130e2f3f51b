import { setTimeout as delay } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import type { Dispatcher } from 'undici';

/** What a caller received of one streamed answer, over all its connections. */
export interface CallerResult {
  readonly texts: readonly string[];
  /** Time between consecutive tokens, and before the first, in milliseconds. */
  readonly gapsMs: readonly number[];
  /** `cut`: the last connection ended before the answer did. */
  readonly end: 'done' | 'error' | 'cut';
  readonly error: string;
  readonly requestId: string;
  readonly reconnects: number;
  /** Token events whose index in the event id did not follow the last one. */
  readonly misnumbered: number;
}

export interface CallerOptions {
  readonly dispatcher: Dispatcher;
  readonly key: string;
  readonly body: object;
  /** Router address for each connection; undefined ends the reading. */
  readonly routerFor: (connection: number) => string | undefined;
  readonly onOpen?: (requestId: string) => void;
  readonly onToken?: (index: number) => void;
  readonly reconnectDelayMs?: number;
  readonly maxConnections?: number;
}

/** A caller that reaches no router must not reconnect for ever. */
const DEFAULT_MAX_CONNECTIONS = 40;

interface StreamProgress {
  readonly texts: string[];
  readonly gapsMs: number[];
  lastMs: number;
  lastEventId: string;
  requestId: string;
  misnumbered: number;
  end: 'done' | 'error' | 'cut';
  error: string;
}

/** Reads a streamed answer like an SSE client: reconnects with the id of the last event. */
export async function readStream(options: CallerOptions): Promise<CallerResult> {
  const progress: StreamProgress = {
    texts: [],
    gapsMs: [],
    lastMs: performance.now(),
    lastEventId: '',
    requestId: '',
    misnumbered: 0,
    end: 'cut',
    error: '',
  };
  let connection = 0;
  while (connection < (options.maxConnections ?? DEFAULT_MAX_CONNECTIONS)) {
    const address = options.routerFor(connection);
    if (address === undefined) break;
    progress.end = 'cut';
    await readOnce(address, options, progress);
    if (progress.end !== 'cut') break;
    connection += 1;
    await delay(options.reconnectDelayMs ?? 20);
  }
  const { texts, gapsMs, end, error, requestId, misnumbered } = progress;
  return { texts, gapsMs, end, error, requestId, misnumbered, reconnects: connection };
}

async function readOnce(
  address: string,
  options: CallerOptions,
  progress: StreamProgress,
): Promise<void> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    authorization: `Bearer ${options.key}`,
  };
  if (progress.lastEventId !== '') headers['last-event-id'] = progress.lastEventId;
  try {
    const answer = await request(`http://${address}/v1/completions`, {
      dispatcher: options.dispatcher,
      method: 'POST',
      headers,
      body: JSON.stringify({ stream: true, ...options.body }),
    });
    if (answer.statusCode !== 200) {
      progress.end = 'error';
      progress.error = await answer.body.text();
      return;
    }
    progress.requestId = String(answer.headers['x-request-id'] ?? '');
    options.onOpen?.(progress.requestId);
    const parser = createParser({ onEvent: (event) => onEvent(event, options, progress) });
    const decoder = new TextDecoder();
    for await (const chunk of answer.body) {
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }));
    }
  } catch (error) {
    progress.error = String(error);
  }
}

function onEvent(
  event: {
    readonly id?: string | undefined;
    readonly event?: string | undefined;
    readonly data: string;
  },
  options: CallerOptions,
  progress: StreamProgress,
): void {
  if (event.data === '[DONE]') {
    progress.end = 'done';
    return;
  }
  if (event.event === 'error') {
    progress.end = 'error';
    progress.error = event.data;
    return;
  }
  const chunk = JSON.parse(event.data) as { choices: [{ text: string; finish_reason?: string }] };
  if (chunk.choices[0].finish_reason !== null) return;
  const nowMs = performance.now();
  const index = Number((event.id ?? '').split('/')[1]);
  if (index !== progress.texts.length) progress.misnumbered += 1;
  progress.texts.push(chunk.choices[0].text);
  progress.gapsMs.push(nowMs - progress.lastMs);
  progress.lastMs = nowMs;
  progress.lastEventId = event.id ?? '';
  options.onToken?.(index);
}
