import { describeError } from '@mimosamill/adapters';
import type { TRPCClient } from '@trpc/client';
import type { FleetConfig, Revision } from '@mimosamill/core';
import type { Member } from '../peer/membership';
import type { ConfigRouter } from './config-router';
import type { ConfigPeers, PullOutcome } from './config-peers';

/** Returns a client of the 'config' procedures of the router at a peer address. */
export type ConfigClientFactory = (peerAddress: string) => TRPCClient<ConfigRouter>;

/** Pulls and pushes configuration through the peer servers of other routers. */
export function createConfigPeers(createClient: ConfigClientFactory): ConfigPeers {
  async function pullSnapshot(member: Member): Promise<PullOutcome> {
    const client = createClient(member.peerAddress);
    let revision: Revision | undefined;
    let text = '';
    for (;;) {
      const offset = text.length;
      const input = revision === undefined ? { offset } : { offset, revision };
      const part = await client.snapshot.query(input);
      if (part.kind === 'gone') {
        return {
          kind: 'unavailable',
          message: 'the peer has no configuration or no longer has the requested revision',
        };
      }
      text += part.text;
      revision = part.revision;
      if (part.nextOffset >= part.totalChars) {
        return { kind: 'config', config: JSON.parse(text) as FleetConfig };
      }
    }
  }

  async function pull(member: Member, after: Revision | undefined): Promise<PullOutcome> {
    if (after === undefined) return pullSnapshot(member);
    const answer = await createClient(member.peerAddress).tail.query({ after });
    if (answer.kind === 'gone') return pullSnapshot(member);
    return { kind: 'tail', revision: answer.revision, revisions: answer.revisions };
  }

  return {
    pull: async (member, after) => {
      try {
        return await pull(member, after);
      } catch (error) {
        return { kind: 'unavailable', message: describeError(error) };
      }
    },
    push: async (member, push) => {
      try {
        const input = { ...push, revisions: [...push.revisions] };
        const answer = await createClient(member.peerAddress).push.mutate(input as never);
        return { kind: 'ok', revision: answer.revision };
      } catch (error) {
        return { kind: 'unavailable', message: describeError(error) };
      }
    },
  };
}
