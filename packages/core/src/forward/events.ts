import { createByteBuffer } from '../byte-buffer';

/** One complete event of a stream, with its bytes exactly as the engine sent them. */
export interface StreamEvent {
  readonly id: number;
  readonly bytes: Uint8Array;
}

/** Splits the bytes of a server-sent event stream into complete events. */
export interface EventSplitter {
  /**
   * Returns the events that the bytes complete; undefined if one has no numeric id, is too long, or
   * holds the head of a response.
   */
  readonly push: (bytes: Uint8Array) => StreamEvent[] | undefined;
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: () => number;
  /** Bytes of memory that they take. */
  readonly heldBytes: () => number;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EVENT_MAX_BYTES = 1_048_576;
/** A blank line may have begun with this many bytes of what came before: a line feed, a carriage return. */
const BLANK_LINE_START_BYTES = 3;
const ID_FIELD = /^id: ?(\d+)\r?$/m;
/** Lines of a response head, which no event has; a fault of an engine may write one into an event. */
const HEAD_LINE =
  /^(?:HTTP\/1\.[01] \d{3}|(?:connection|content-length|content-type|transfer-encoding):)/im;
const BARE_LINE_FEED = /(?:^|[^\r])\n/;

export function createEventSplitter(): EventSplitter {
  /** The bytes of an event that is not complete. */
  let pending = createByteBuffer();
  const decoder = new TextDecoder();

  function toEvent(bytes: Uint8Array): StreamEvent | undefined {
    const text = decoder.decode(bytes);
    const id = ID_FIELD.exec(text)?.[1];
    return id === undefined || holdsHead(text) ? undefined : { id: Number(id), bytes };
  }

  /** Keeps the start of the next event in memory of its own: a view would keep what came before it too. */
  function restart(rest: Uint8Array): void {
    pending = createByteBuffer();
    // `slice` of a Node.js buffer would be such a view.
    if (rest.length > 0) pending.add(new Uint8Array(rest));
  }

  return {
    push: (bytes) => {
      const pendingBefore = pending.sizeBytes();
      pending.add(bytes);
      const joined = pending.bytes();
      const events: StreamEvent[] = [];
      let start = 0;
      // Only what is new is searched: an event may come in a great number of short lines.
      let end = findEventEnd(joined, Math.max(0, pendingBefore - BLANK_LINE_START_BYTES));
      while (end !== undefined) {
        const event = toEvent(joined.subarray(start, end));
        if (event === undefined) return undefined;
        events.push(event);
        start = end;
        end = findEventEnd(joined, start);
      }
      if (events.length > 0) restart(joined.subarray(start));
      return pending.sizeBytes() > EVENT_MAX_BYTES ? undefined : events;
    },
    pendingBytes: () => pending.sizeBytes(),
    heldBytes: () => pending.capacityWith(0),
  };
}

export type SequenceVerdict = 'next' | 'duplicate' | 'gap';

/** Checks that a stream's event ids are consecutive across all of its attempts. */
export interface EventSequence {
  readonly accept: (id: number) => SequenceVerdict;
  /** Id of the last event that the caller has; undefined if it has none. */
  readonly lastId: () => number | undefined;
}

/** `lastId` is the id of the last event that the caller already has. */
export function createEventSequence(lastId: number | undefined): EventSequence {
  let last = lastId;
  return {
    accept: (id) => {
      if (last !== undefined && id <= last) return 'duplicate';
      if (last !== undefined && id !== last + 1) return 'gap';
      last = id;
      return 'next';
    },
    lastId: () => last,
  };
}

/** The lines of an event end all alike; a head in its middle may end them differently. */
function holdsHead(text: string): boolean {
  return HEAD_LINE.test(text) || (text.includes('\r\n') && BARE_LINE_FEED.test(text));
}

/** Position after the first blank line, searched from `from` on; undefined if there is none. */
function findEventEnd(bytes: Uint8Array, from: number): number | undefined {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return undefined;
}
