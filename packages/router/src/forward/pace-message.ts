import { asId } from '@mimosamill/core';
import type { PaceMessage } from './state-schema';
import type { HostId, PaceReport } from '@mimosamill/core';

/** How long work takes at servers, as one router heard it lately. */
export interface PaceNews {
  readonly hostId: HostId;
  readonly reports: readonly PaceReport[];
}

/**
 * Translates pace reports to a message of their own. A router of an earlier release ignores it; as a
 * field of the state message it would make such a router ignore the whole message.
 */
export function toPaceMessage({ hostId, reports }: PaceNews): PaceMessage {
  return [
    'pace',
    hostId,
    reports.map(({ serverId, workTimePercent, ageMs }) => [
      serverId,
      workTimePercent,
      Math.round(ageMs),
    ]),
  ];
}

/** Translates a checked message back. */
export function fromPaceMessage([, hostId, reports]: PaceMessage): PaceNews {
  return {
    hostId: asId(hostId),
    reports: reports.map(([serverId, workTimePercent, ageMs]) => ({
      serverId: asId(serverId),
      workTimePercent,
      ageMs,
    })),
  };
}
