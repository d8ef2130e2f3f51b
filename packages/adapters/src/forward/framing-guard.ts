import type { Socket } from 'node:net';

/** An exchange whose received bytes are compared with those that its response consists of. */
export interface GuardedExchange {
  /** Bytes of the body that the HTTP client has passed on. */
  readonly bodyBytes: () => number;
  /** Called once when more was received than head and framing can explain. */
  readonly onExcess: (excessBytes: number) => void;
}

/**
 * Limits the bytes of a response that are not body. The HTTP client limits header and trailer fields,
 * but not a status line, interim responses or chunk extensions, and reports none of their bytes.
 */
export interface FramingGuard {
  readonly watch: (socket: Socket) => void;
  /** Must be called right before the HTTP client writes the request to its connection. */
  readonly onRequestStart: (exchange: GuardedExchange) => void;
}

/** Head, interim responses and framing of a response; a head alone has 16 KB at most. */
const OVERHEAD_MAX_BYTES = 131_072;
/** Framing of chunks, as a part of the body: events of a few bytes come in a chunk each. */
const OVERHEAD_MAX_RATIO = 2;

export function createFramingGuard(): FramingGuard {
  let starting: GuardedExchange | undefined;

  return {
    watch: (socket) => {
      let exchange: GuardedExchange | undefined;
      let readBefore = 0;
      const write = socket.write.bind(socket) as (...args: unknown[]) => boolean;
      // The first write after the start of a request tells which connection it uses.
      socket.write = (...args: unknown[]): boolean => {
        if (starting !== undefined) {
          exchange = starting;
          readBefore = socket.bytesRead;
          starting = undefined;
        }
        return write(...args);
      };
      socket.on('readable', () => {
        if (exchange === undefined) return;
        const bodyBytes = exchange.bodyBytes();
        const overheadBytes = socket.bytesRead - readBefore - bodyBytes;
        if (overheadBytes <= OVERHEAD_MAX_BYTES + OVERHEAD_MAX_RATIO * bodyBytes) return;
        const { onExcess } = exchange;
        exchange = undefined;
        onExcess(overheadBytes);
      });
    },
    onRequestStart: (exchange) => {
      starting = exchange;
    },
  };
}
