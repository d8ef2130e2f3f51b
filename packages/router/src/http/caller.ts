import { sendError, toErrorBody } from '@mimosamill/adapters';
import type { ServerResponse } from 'node:http';
import type { RunningStream } from '../stream/stream';
import type { StreamReader } from '../stream/ports';
import type { CompletionEncoder } from './completions';

/** The connection of a caller, to which the tokens of a stream's journal are sent. */
export interface CallerConnection extends StreamReader {
  readonly bind: (stream: RunningStream) => void;
}

/** While more bytes than this wait in the socket's buffer, no further tokens are written. */
const MAX_UNSENT_BYTES = 65_536;

/**
 * Sends a stream as server-sent events. Tokens stay in the journal until the socket accepts them,
 * so a slow caller needs no more memory than its answer.
 */
export function createSseConnection(
  res: ServerResponse,
  encoder: CompletionEncoder,
  receivedTokens: number,
): CallerConnection {
  let stream: RunningStream | undefined;
  let nextIndex = receivedTokens;
  let hasEnded = false;

  const connection: CallerConnection = {
    bind: (boundStream) => {
      stream = boundStream;
      writeTokens();
    },
    onProgress: writeTokens,
  };

  function writeTokens(): void {
    if (stream === undefined || hasEnded || res.destroyed) return;
    const journal = stream.journal();
    const texts = journal.texts();
    let events = '';
    while (nextIndex < texts.length && res.writableLength + events.length < MAX_UNSENT_BYTES) {
      events += encoder.tokenEvent(nextIndex, texts[nextIndex] ?? '');
      nextIndex += 1;
    }
    if (events !== '') write(events);
    if (nextIndex >= texts.length) finish(stream);
  }

  function write(text: string): void {
    if (!res.headersSent) {
      res.writeHead(200, {
        'content-type': 'text/event-stream; charset=utf-8',
        'cache-control': 'no-store',
        'x-accel-buffering': 'no',
      });
    }
    res.write(text);
  }

  function finish(running: RunningStream): void {
    const end = running.ended();
    if (end === undefined) return;
    hasEnded = true;
    if (end.kind === 'finish') {
      write(encoder.finishEvents(end.reason));
      res.end();
    } else if (res.headersSent) {
      write(`event: error\ndata: ${JSON.stringify(toErrorBody(end.error))}\n\n`);
      res.end();
    } else {
      sendError(res, end.error);
    }
  }

  res.on('drain', writeTokens);
  res.on('close', () => stream?.detach(connection));
  return connection;
}

/** Sends the answer as one JSON object once it is complete. */
export function createJsonConnection(
  res: ServerResponse,
  encoder: CompletionEncoder,
): CallerConnection {
  let stream: RunningStream | undefined;
  let hasEnded = false;

  const connection: CallerConnection = {
    bind: (boundStream) => {
      stream = boundStream;
      connection.onProgress();
    },
    onProgress: () => {
      const end = stream?.ended();
      if (stream === undefined || end === undefined || hasEnded) return;
      hasEnded = true;
      if (end.kind === 'error') {
        sendError(res, end.error);
        return;
      }
      const texts = stream.journal().texts();
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(encoder.completeBody(texts.join(''), texts.length, end.reason));
    },
  };

  res.on('close', () => stream?.detach(connection));
  return connection;
}
