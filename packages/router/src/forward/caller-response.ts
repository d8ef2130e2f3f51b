import { isBodyOutstanding, respondBeforeBody } from '@mimosamill/adapters';
import { reportHandlingError } from './handling-error';
import { createUnsentTracker } from './unsent';
import type { ServerResponse } from 'node:http';
import type { ServeError } from '@mimosamill/core';
import type { BufferedResponse } from './call';
import type { ForwardPorts } from './ports';
import type { StreamSink } from './stream';

/** Writes responses to callers. What is not whole never ends like a whole response. */
export interface CallerResponses {
  /** Closes the connection instead if the response has begun. */
  readonly sendError: (res: ServerResponse, error: ServeError) => void;
  /** Like `sendError`, for a request whose handling has failed: it does not throw. */
  readonly sendErrorOrClose: (res: ServerResponse, error: ServeError) => void;
  /** Like `sendError`, for a request that is cut off as the router stops. */
  readonly sendCutError: (res: ServerResponse, error: ServeError) => void;
  readonly sendWhole: (res: ServerResponse, answer: BufferedResponse) => void;
  readonly createSink: (res: ServerResponse) => StreamSink;
}

export function createCallerResponses({
  codec,
  decisions,
  memory,
  clock,
}: Pick<ForwardPorts, 'codec' | 'decisions' | 'memory' | 'clock'>): CallerResponses {
  const trackUnsent = createUnsentTracker(memory, clock);

  function sendError(res: ServerResponse, error: ServeError): void {
    if (res.headersSent || res.destroyed) {
      res.destroy();
      return;
    }
    const answer = codec.toErrorResponse(error);
    const isEarly = error.code === 'body_too_large' || isBodyOutstanding(res.req);
    if (isEarly) res.setHeader('connection', 'close');
    res.writeHead(answer.status, answer.headers);
    if (isEarly) respondBeforeBody(res, answer.body);
    else res.end(answer.body);
  }

  function sendErrorOrClose(res: ServerResponse, error: ServeError): void {
    try {
      sendError(res, error);
    } catch (cause) {
      reportHandlingError(decisions, {}, cause);
      res.destroy();
    }
  }

  function sendCutError(res: ServerResponse, error: ServeError): void {
    if (!res.headersSent) res.setHeader('connection', 'close');
    sendError(res, error);
  }

  function sendWhole(res: ServerResponse, { head, body }: BufferedResponse): void {
    if (res.destroyed) return;
    res.writeHead(head.status, {
      ...codec.toCallerHeaders(head.fields),
      'content-length': body.length,
    });
    res.end(body);
    trackUnsent(res).onWritten();
  }

  function createSink(res: ServerResponse): StreamSink {
    const unsent = trackUnsent(res);
    /** Without a head, Node.js would send one with status 200. */
    const requireHead = (): void => {
      if (!res.headersSent) throw new Error('the body of a response begins without its head');
    };
    return {
      writeHead: ({ status, fields }) => {
        res.writeHead(status, codec.toCallerHeaders(fields));
      },
      write: (bytes) => {
        requireHead();
        res.write(bytes);
        unsent.onWritten();
      },
      end: () => {
        requireHead();
        res.end();
      },
      sendErrorResponse: (head, body) => sendWhole(res, { head, body }),
      fail: (error) => sendErrorOrClose(res, error),
      abort: () => res.destroy(),
    };
  }

  return { sendError, sendErrorOrClose, sendCutError, sendWhole, createSink };
}
