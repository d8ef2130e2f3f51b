import { asId } from '@mimosamill/core';
import { Packr } from 'msgpackr';
import { isPaceMessage } from './state-schema';
import type { PaceMessage } from './state-schema';
import type { HostId, PaceReport } from '@mimosamill/core';

/** How long work takes at servers, as one router heard it lately. */
export interface PaceNews {
  readonly hostId: HostId;
  readonly reports: readonly PaceReport[];
}

/**
 * Translates pace reports to a datagram of their own and back. A router of an earlier release ignores
 * it; as a field of the state message it would make such a router ignore the whole message.
 */
export interface PaceCodec {
  readonly encode: (news: PaceNews) => Uint8Array;
  /** Undefined for bytes that are no message of this kind. */
  readonly decode: (bytes: Buffer) => PaceNews | undefined;
}

export function createPaceCodec(): PaceCodec {
  const packr = new Packr({ useRecords: false });
  return {
    encode: ({ hostId, reports }) => {
      const message: PaceMessage = [
        'pace',
        hostId,
        reports.map(({ serverId, workTimePercent, ageMs }) => [
          serverId,
          workTimePercent,
          Math.round(ageMs),
        ]),
      ];
      return packr.pack(message);
    },
    decode: (bytes) => {
      let unpacked: unknown;
      try {
        unpacked = packr.unpack(bytes);
      } catch {
        return undefined;
      }
      if (!isPaceMessage(unpacked)) return undefined;
      const [, hostId, reports] = unpacked;
      return {
        hostId: asId(hostId),
        reports: reports.map(([serverId, workTimePercent, ageMs]) => ({
          serverId: asId(serverId),
          workTimePercent,
          ageMs,
        })),
      };
    },
  };
}
