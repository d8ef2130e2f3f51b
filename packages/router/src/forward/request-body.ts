import { assertNever, createServeError } from '@mimosamill/core';
import { NO_ROOM_RETRY_MS } from '@mimosamill/adapters';
import type { BodyOutcome } from '@mimosamill/adapters';
import type { ServeError } from '@mimosamill/core';

export type BodyRefusal = Exclude<BodyOutcome['kind'], 'ok' | 'gone'>;

/** Error for a body that was not read to its end. No server has seen the request, so it was not run. */
export function bodyError(reason: BodyRefusal, maxBytes: number, random: number): ServeError {
  // Jitter: the callers of a crowd must not all return at the same time.
  const retryAfterMs = NO_ROOM_RETRY_MS * (0.5 + random);
  switch (reason) {
    case 'too_large':
      return createServeError('body_too_large', `the body is larger than ${maxBytes} bytes`);
    case 'no_room': {
      const message = 'the router holds as many bytes for others as it may';
      return createServeError('overloaded', message, 'not_run', retryAfterMs);
    }
    case 'fragmented': {
      const message = 'the body comes in very small chunks, as several others do';
      return createServeError('overloaded', message, 'not_run', retryAfterMs);
    }
    case 'too_slow': {
      const message = 'the body arrived too slowly while others needed the memory';
      return createServeError('request_timeout', message, 'not_run', retryAfterMs);
    }
    default:
      return assertNever(reason);
  }
}
