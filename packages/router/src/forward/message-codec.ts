import { Packr } from 'msgpackr';
import { isPaceMessage, isStateMessage } from './state-schema';
import type { PaceMessage, StateMessage } from './state-schema';

/** What a router sends to others. */
export type RouterMessage = StateMessage | PaceMessage;

export type DecodedMessage =
  | { readonly kind: 'state'; readonly message: StateMessage }
  | { readonly kind: 'pace'; readonly message: PaceMessage };

/** Packs the messages between routers into datagrams. */
export interface MessageCodec {
  readonly encode: (message: RouterMessage) => Uint8Array;
  /** Undefined for bytes that are no message of a known kind. */
  readonly decode: (bytes: Buffer) => DecodedMessage | undefined;
}

export function createMessageCodec(): MessageCodec {
  const packr = new Packr({ useRecords: false });

  function unpack(bytes: Buffer): unknown {
    try {
      return packr.unpack(bytes);
    } catch {
      return undefined;
    }
  }

  return {
    encode: (message) => packr.pack(message),
    decode: (bytes) => {
      const message = unpack(bytes);
      if (isStateMessage(message)) return { kind: 'state', message };
      return isPaceMessage(message) ? { kind: 'pace', message } : undefined;
    },
  };
}
