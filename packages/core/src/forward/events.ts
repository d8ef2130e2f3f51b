/** One whole event of a stream, with the bytes as the engine sent them. */
export interface StreamEvent {
  readonly id: number;
  readonly bytes: Uint8Array;
}

/** Splits a stream's bytes into whole events. */
export interface EventSplitter {
  /** Events completed by the bytes; undefined if one has no numeric id or is too long. */
  readonly push: (bytes: Uint8Array) => StreamEvent[] | undefined;
  /** Bytes of an event that has not ended. */
  readonly pendingBytes: () => number;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EVENT_MAX_BYTES = 1_048_576;
const ID_FIELD = /^id: ?(\d+)\r?$/m;

export function createEventSplitter(): EventSplitter {
  let pending: Uint8Array = new Uint8Array(0);
  const decoder = new TextDecoder();

  function toEvent(bytes: Uint8Array): StreamEvent | undefined {
    const id = ID_FIELD.exec(decoder.decode(bytes))?.[1];
    return id === undefined ? undefined : { id: Number(id), bytes };
  }

  return {
    push: (bytes) => {
      const joined = join(pending, bytes);
      const events: StreamEvent[] = [];
      let start = 0;
      // A terminator may begin in the bytes that were there before.
      let end = findEventEnd(joined, Math.max(0, pending.length - 3));
      while (end !== undefined) {
        const event = toEvent(joined.subarray(start, end));
        if (event === undefined) return undefined;
        events.push(event);
        start = end;
        end = findEventEnd(joined, start);
      }
      pending = joined.subarray(start);
      return pending.length > EVENT_MAX_BYTES ? undefined : events;
    },
    pendingBytes: () => pending.length,
  };
}

export type SequenceVerdict = 'next' | 'duplicate' | 'gap';

/** Keeps a stream's event ids consecutive over all of its attempts. */
export interface EventSequence {
  readonly accept: (id: number) => SequenceVerdict;
  /** Undefined until an event was accepted or the caller named one. */
  readonly lastId: () => number | undefined;
}

/** `lastId` is the last event that the caller already has. */
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

function join(first: Uint8Array, second: Uint8Array): Uint8Array {
  if (first.length === 0) return second;
  const joined = new Uint8Array(first.length + second.length);
  joined.set(first);
  joined.set(second, first.length);
  return joined;
}

/** Position after the blank line that ends the event, from `from` on. */
function findEventEnd(bytes: Uint8Array, from: number): number | undefined {
  let at = bytes.indexOf(LINE_FEED, from);
  while (at >= 0) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return undefined;
}
