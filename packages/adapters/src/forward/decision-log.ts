import { fstatSync, writeSync } from 'node:fs';
import { Socket } from 'node:net';

/** Value of a field of a decision line. */
export type DecisionValue = string | number | boolean | null | undefined | readonly string[];

export type DecisionFields = Readonly<Record<string, DecisionValue>>;

/** How much a line matters when not all can be written. */
export type DecisionPriority = 'routine' | 'notable' | 'vital';

/** One structured line a decision, on standard output; bounded, and never blocking. */
export interface DecisionLog {
  /** A request went as usual; dropped first. */
  readonly routine: (event: string, fields: DecisionFields) => void;
  /** A request failed, was refused or was tried again. */
  readonly notable: (event: string, fields: DecisionFields) => void;
  /** What the process believes has changed, or its life cycle; dropped last. */
  readonly vital: (event: string, fields: DecisionFields) => void;
  readonly droppedCount: () => number;
}

/** Where lines go. */
export interface LineSink {
  /** False if the line was not taken, because too much is waiting. */
  readonly write: (line: string) => boolean;
}

export interface DecisionLogSettings {
  readonly sink: LineSink;
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
  readonly host: string;
}

/** Lines a second on average and at once, for each weight; the heavier may use the lighter's. */
const LINES_PER_SEC: Readonly<Record<DecisionPriority, number>> = {
  routine: 60,
  notable: 120,
  vital: 200,
};
const BURST_SEC = 2;
/** Bytes that may wait for a reader that does not read. */
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
    (Object.keys(tokens) as DecisionPriority[]).forEach((weight) => {
      const perSec = LINES_PER_SEC[weight];
      tokens[weight] = Math.min(perSec * BURST_SEC, tokens[weight] + perSec * elapsedSec);
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

  function write(weight: DecisionPriority, event: string, fields: DecisionFields): void {
    refill();
    if (tokens[weight] < 1) {
      drop();
      return;
    }
    tokens[weight] -= 1;
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
 * Writes to a file descriptor without ever waiting. Node.js writes to pipes synchronously through
 * `process.stdout`, so that a reader that stops reading would stop the process.
 */
export function createDescriptorSink(descriptor: number): LineSink {
  const stat = fstatSync(descriptor);
  if (!stat.isFIFO() && !stat.isSocket()) {
    return { write: (line) => writeSync(descriptor, line) > 0 };
  }
  const socket = new Socket({ fd: descriptor, readable: false, writable: true });
  let isBroken = false;
  // A reader that went away must not end the process.
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
