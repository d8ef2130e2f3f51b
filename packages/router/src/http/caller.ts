import { sendError, toErrorBody } from '@mimosamill/adapters';
import type { ServerResponse } from 'node:http';
import type { RunningStream } from '../stream/stream';
import type { StreamReader } from '../stream/ports';
import type { CompletionEncoder } from './completions';

/** A connected caller that reads a stream's journal. */
export interface CallerConnection extends StreamReader {
  readonly bind: (stream: RunningStream) => void;
}

/** Bytes handed to the socket before the caller is taken to be slow. */
const MAX_UNSENT_BYTES = 65_536;

/**
 * Sends a stream as server-sent events. Tokens stay in the journal until the socket takes them,
 * so a slow caller costs no more memory than its own answer.
 */
export function createSseConnection(
  res: ServerResponse,
  writer: CompletionEncoder,
  haveTokens: number,
): CallerConnection {
  let stream: RunningStream | undefined;
  let nextIndex = haveTokens;
  let isOver = false;

  const caller: CallerConnection = {
    bind: (running) => {
      stream = running;
      pump();
    },
    onProgress: pump,
  };

  function pump(): void {
    if (stream === undefined || isOver || res.destroyed) return;
    const journal = stream.journal();
    const texts = journal.texts();
    let events = '';
    while (nextIndex < texts.length && res.writableLength + events.length < MAX_UNSENT_BYTES) {
      events += writer.tokenEvent(nextIndex, texts[nextIndex] ?? '');
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
    isOver = true;
    if (end.kind === 'finish') {
      write(writer.finishEvents(end.reason));
      res.end();
    } else if (res.headersSent) {
      write(`event: error\ndata: ${JSON.stringify(toErrorBody(end.error))}\n\n`);
      res.end();
    } else {
      sendError(res, end.error);
    }
  }

  res.on('drain', pump);
  res.on('close', () => stream?.detach(caller));
  return caller;
}

/** Sends the answer as one JSON object once it is whole. */
export function createJsonConnection(
  res: ServerResponse,
  writer: CompletionEncoder,
): CallerConnection {
  let stream: RunningStream | undefined;
  let isOver = false;

  const caller: CallerConnection = {
    bind: (running) => {
      stream = running;
      caller.onProgress();
    },
    onProgress: () => {
      const end = stream?.ended();
      if (stream === undefined || end === undefined || isOver) return;
      isOver = true;
      if (end.kind === 'error') {
        sendError(res, end.error);
        return;
      }
      const texts = stream.journal().texts();
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(writer.completeBody(texts.join(''), texts.length, end.reason));
    },
  };

  res.on('close', () => stream?.detach(caller));
  return caller;
}
