import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import { describeError, isNotSent, readText } from '../runtime/fetch';
import type { AttemptNo, RequestId } from '@mimosamill/core';
import type { Dispatcher } from 'undici';
import type { AttemptHandle, AttemptEvent } from './client';

export interface AttemptRequest {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly attemptNo: AttemptNo;
}

interface WireToken {
  readonly request_id: string;
  readonly attempt: number;
  readonly index: number;
  readonly text: string;
  readonly finish_reason?: 'stop' | 'length';
}

const STATUS_OK = 200;
const REFUSAL_MAX_BYTES = 65_536;
/** A stream with more bytes than this between two events is malformed. */
const EVENT_MAX_BYTES = 1_048_576;

type RefusalCause = Extract<AttemptEvent, { kind: 'refused' }>['cause'];

const REFUSAL_CAUSE_BY_CODE: Readonly<Record<string, RefusalCause>> = {
  leaving: 'leaving',
  overloaded: 'overloaded',
  no_version: 'no_version',
  bad_request: 'bad_request',
  unknown_request: 'unknown',
};

/** Reports the events of one attempt until its stream finishes, fails or is closed. */
export function followStream(
  dispatcher: Dispatcher,
  call: AttemptRequest,
  onEvent: (event: AttemptEvent) => void,
): AttemptHandle {
  const abort = new AbortController();
  let hasEnded = false;

  function end(event: AttemptEvent): void {
    if (hasEnded) return;
    hasEnded = true;
    onEvent(event);
  }

  function failMalformed(found: string): void {
    const message = `expected a token or a finish reason in the event stream, got ${found}`;
    end(toLost(call.attemptNo, 'ended_early', message));
    abort.abort();
  }

  function onData(data: string): void {
    if (hasEnded || data === '[DONE]') return;
    const token = parseToken(data);
    if (token === undefined) {
      failMalformed('a malformed event');
      return;
    }
    if (token.finish_reason !== undefined) {
      end({ kind: 'finish', attemptNo: call.attemptNo, reason: token.finish_reason });
      return;
    }
    onEvent({
      kind: 'token',
      requestId: token.request_id as RequestId,
      attemptNo: token.attempt as AttemptNo,
      index: token.index,
      text: token.text,
    });
  }

  async function run(): Promise<void> {
    const response = await request(call.url, {
      dispatcher,
      method: call.method,
      headers: { ...call.headers },
      body: call.body ?? null,
      signal: abort.signal,
    });
    if (response.statusCode !== STATUS_OK) {
      end(
        toRefused(
          call.attemptNo,
          response.statusCode,
          await readText(response.body, REFUSAL_MAX_BYTES),
        ),
      );
      return;
    }
    let bytesSinceEvent = 0;
    const parser = createParser({
      onEvent: ({ data }) => {
        bytesSinceEvent = 0;
        onData(data);
      },
    });
    const stream = response.body;
    const decoder = new TextDecoder();
    stream.on('data', (chunk: Buffer) => {
      bytesSinceEvent += chunk.length;
      parser.feed(decoder.decode(chunk, { stream: true }));
      if (bytesSinceEvent > EVENT_MAX_BYTES) failMalformed('more than 1 MiB without an event');
    });
    await new Promise<void>((resolve, reject) => {
      stream.once('end', resolve);
      stream.once('error', reject);
      stream.once('close', resolve);
    });
    end(toLost(call.attemptNo, 'ended_early', 'the event stream ended before its finish reason'));
  }

  run().catch((error: unknown) => {
    const cause = isNotSent(error) ? 'connect_failed' : 'reset';
    end(toLost(call.attemptNo, cause, describeError(error)));
  });

  return {
    close: () => {
      hasEnded = true;
      abort.abort();
    },
  };
}

/** Validates without a schema, which would cost too much CPU time per token. */
function parseToken(data: string): WireToken | undefined {
  let token: Partial<WireToken> | null;
  try {
    token = JSON.parse(data) as Partial<WireToken> | null;
  } catch {
    return undefined;
  }
  if (token === null) return undefined;
  const { finish_reason: reason, request_id: requestId, attempt, index, text } = token;
  const isFinish = reason === 'stop' || reason === 'length';
  const isToken =
    reason === undefined &&
    typeof requestId === 'string' &&
    typeof attempt === 'number' &&
    typeof index === 'number' &&
    typeof text === 'string';
  return isFinish || isToken ? (token as WireToken) : undefined;
}

function toLost(
  attemptNo: AttemptNo,
  cause: Extract<AttemptEvent, { kind: 'lost' }>['cause'],
  message: string,
): AttemptEvent {
  return { kind: 'lost', attemptNo, cause, message };
}

function toRefused(attemptNo: AttemptNo, status: number, body: string): AttemptEvent {
  return {
    kind: 'refused',
    attemptNo,
    cause: refusalCauseOf(body),
    message: `expected status 200, got ${status}: ${body}`,
  };
}

function refusalCauseOf(body: string): RefusalCause {
  try {
    const { error } = JSON.parse(body) as { error?: { code?: string } };
    return REFUSAL_CAUSE_BY_CODE[error?.code ?? ''] ?? 'failed';
  } catch {
    return 'failed';
  }
}
