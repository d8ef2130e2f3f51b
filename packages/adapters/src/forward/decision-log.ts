import { fstatSync, writeSync } from 'node:fs';
import { Socket } from 'node:net';

/** Value of a log field. */
export type DecisionValue = string | number | boolean | null | undefined | readonly string[];

export type DecisionFields = Readonly<Record<string, DecisionValue>>;

/** Decides which lines are dropped first when not all can be written. */
export type DecisionPriority = 'routine' | 'notable' | 'vital';

/** Log with one JSON line per decision; it is rate-limited and never blocks. */
export interface DecisionLog {
  /** For requests without incident; dropped first. */
  readonly routine: (event: string, fields: DecisionFields) => void;
  /** For requests that failed, were refused or were retried. */
  readonly notable: (event: string, fields: DecisionFields) => void;
  /** For changes of configuration, of the state of servers and of the process; dropped last. */
  readonly vital: (event: string, fields: DecisionFields) => void;
  readonly droppedCount: () => number;
}

/** Destination of log lines. */
export interface LineSink {
  /** False if the line was dropped, e.g. because the buffer is full. */
  readonly write: (line: string) => boolean;
}

export interface DecisionLogSettings {
  readonly sink: LineSink;
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
  readonly host: string;
}

/** Refill rates of the token buckets; each priority has a bucket of its own. */
const LINES_PER_SEC: Readonly<Record<DecisionPriority, number>> = {
  routine: 60,
  notable: 120,
  vital: 200,
};
const BURST_SEC = 2;
/** Bytes that are buffered while the reader does not read. */
const BUFFERED_MAX_BYTES = 262_144;

export function createDecisionLog(settings: DecisionLogSettings): DecisionLog {
  let dropped = 0;
  let unreported = 0;
  let refilledAtMs = settings.monotonicMs();
  const tokens: Record<DecisionPriority, number> = {
    routine: LINES_PER_SEC.routine * BURST_SEC,
    notable: LINES_PER_SEC.notable * BURST_SEC,
    vital: LINES_PER_SEC.vital * BURST_SEC,
  };

  function refill(): void {
    const nowMs = settings.monotonicMs();
    const elapsedSec = Math.max(0, nowMs - refilledAtMs) / 1_000;
    refilledAtMs = nowMs;
    (Object.keys(tokens) as DecisionPriority[]).forEach((priority) => {
      const perSec = LINES_PER_SEC[priority];
      tokens[priority] = Math.min(perSec * BURST_SEC, tokens[priority] + perSec * elapsedSec);
    });
  }

  function format(event: string, fields: DecisionFields): string {
    const time = new Date(settings.wallMs()).toISOString();
    return `${JSON.stringify({ time, host: settings.host, event, ...fields })}\n`;
  }

  function drop(): void {
    dropped += 1;
    unreported += 1;
  }

  function write(priority: DecisionPriority, event: string, fields: DecisionFields): void {
    refill();
    if (tokens[priority] < 1) {
      drop();
      return;
    }
    tokens[priority] -= 1;
    if (unreported > 0 && settings.sink.write(format('log.dropped', { lines: unreported }))) {
      unreported = 0;
    }
    if (!settings.sink.write(format(event, fields))) drop();
  }

  return {
    routine: (event, fields) => write('routine', event, fields),
    notable: (event, fields) => write('notable', event, fields),
    vital: (event, fields) => write('vital', event, fields),
    droppedCount: () => dropped,
  };
}

/**
 * Writes to a file descriptor without blocking. Through `process.stdout`, Node.js writes to pipes
 * synchronously, so a reader that stops reading would block the process.
 */
export function createDescriptorSink(descriptor: number): LineSink {
  const stat = fstatSync(descriptor);
  if (!stat.isFIFO() && !stat.isSocket()) {
    return { write: (line) => writeSync(descriptor, line) > 0 };
  }
  const socket = new Socket({ fd: descriptor, readable: false, writable: true });
  let isBroken = false;
  // Without a listener, the error of a reader that disconnected would end the process.
  socket.on('error', () => {
    isBroken = true;
  });
  socket.unref();
  return {
    write: (line) => {
      if (isBroken || socket.writableLength + line.length > BUFFERED_MAX_BYTES) return false;
      socket.write(line);
      return true;
    },
  };
}
