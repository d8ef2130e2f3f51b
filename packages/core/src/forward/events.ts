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
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EVENT_MAX_BYTES = 1_048_576;
const JOINED_MAX_BYTES = 4_096;
const ID_FIELD = /^id: ?(\d+)\r?$/m;
/** Lines of a response head, which no event has; a fault of an engine may write one into an event. */
const HEAD_LINE =
  /^(?:HTTP\/1\.[01] \d{3}|(?:connection|content-length|content-type|transfer-encoding):)/im;
const BARE_LINE_FEED = /(?:^|[^\r])\n/;

export function createEventSplitter(): EventSplitter {
  /** Chunks of an event that is not complete; joined once a line ends, as an endless line may be long. */
  let pending: Uint8Array[] = [];
  let pendingSize = 0;
  const decoder = new TextDecoder();

  function toEvent(bytes: Uint8Array): StreamEvent | undefined {
    const text = decoder.decode(bytes);
    const id = ID_FIELD.exec(text)?.[1];
    return id === undefined || holdsHead(text) ? undefined : { id: Number(id), bytes };
  }

  /** Joins small chunks of about the same size, so that there are few and each byte is copied seldom. */
  function keep(bytes: Uint8Array): void {
    pendingSize += bytes.length;
    let last = bytes;
    for (
      let before = pending.at(-1);
      before !== undefined && before.length <= Math.min(last.length, JOINED_MAX_BYTES);
      before = pending.at(-1)
    ) {
      pending.pop();
      last = concat([before, last]);
    }
    pending.push(last);
  }

  return {
    push: (bytes) => {
      if (!bytes.includes(LINE_FEED)) {
        keep(bytes);
        return pendingSize > EVENT_MAX_BYTES ? undefined : [];
      }
      const joined = concat([...pending, bytes]);
      const events: StreamEvent[] = [];
      let start = 0;
      // The blank line that ends an event may have started in the previous bytes.
      let end = findEventEnd(joined, Math.max(0, pendingSize - 3));
      while (end !== undefined) {
        const event = toEvent(joined.subarray(start, end));
        if (event === undefined) return undefined;
        events.push(event);
        start = end;
        end = findEventEnd(joined, start);
      }
      pending = [];
      pendingSize = 0;
      keep(joined.subarray(start));
      return pendingSize > EVENT_MAX_BYTES ? undefined : events;
    },
    pendingBytes: () => pendingSize,
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

function concat(parts: readonly Uint8Array[]): Uint8Array {
  const [only] = parts;
  if (only !== undefined && parts.length === 1) return only;
  const joined = new Uint8Array(parts.reduce((sum, { length }) => sum + length, 0));
  let at = 0;
  parts.forEach((part) => {
    joined.set(part, at);
    at += part.length;
  });
  return joined;
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
