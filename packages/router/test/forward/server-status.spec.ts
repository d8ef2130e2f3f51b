import { describe, expect, it } from 'vitest';
import { asId, createFleet } from '@mimosamill/core';
import { applyServerStatus } from '../../src/forward/server-status';
import { createManualClock } from './clock';
import { answerMetadata } from './answer-metadata';
import type { ForwardServer, RequestId } from '@mimosamill/core';
import type { ResponseMetadata } from '../../src/forward/codec';
import type { ForwardPorts } from '../../src/forward/ports';

const REQUEST = asId<RequestId>('r1');
const OTHER_REQUEST = asId<RequestId>('r0');
const CLAIM = { service: asId<ForwardServer['service']>('shop'), draw: 0, isFailover: false };
const SERVER: ForwardServer = {
  serverId: asId('a1'),
  service: CLAIM.service,
  address: '10.0.0.1:1',
  failureDomain: asId('a'),
  version: '',
  slots: 6,
  isLeaving: false,
  startedAtMs: 1,
};
const ANSWER = answerMetadata(REQUEST);

function createStatus() {
  const clock = createManualClock();
  const fleet = createFleet();
  fleet.setServers([SERVER], 0);
  const logged: string[] = [];
  const ports = {
    clock,
    fleet,
    decisions: { vital: (event: string) => logged.push(event) },
    metrics: { onServerNotice: () => undefined },
    stateBroadcast: { sendSoon: () => undefined },
    serverListAgeMs: () => 0,
    onServerLeaving: () => logged.push('copies replaced'),
  } as unknown as ForwardPorts;
  return {
    fleet,
    logged,
    answer: (changes: Partial<ResponseMetadata>) =>
      applyServerStatus(ports, SERVER, REQUEST, { ...ANSWER, ...changes }),
    isOpen: () => fleet.withRoom(CLAIM.service, CLAIM, clock.monotonicMs()).length > 0,
    limitCount: () => fleet.limits.count(clock.monotonicMs()),
  };
}

describe('what a server says of itself in an answer', () => {
  it('is logged once as news, and closes the server', () => {
    const status = createStatus();
    status.answer({ retryAfterMs: 500, wasNotRun: true });
    status.answer({ retryAfterMs: 500, wasNotRun: true });
    expect([status.logged, status.isOpen()]).toEqual([['server.retry_after'], false]);
    status.answer({ isLeaving: true });
    status.answer({ isLeaving: true });
    expect(status.logged).toEqual(['server.retry_after', 'server.leaving', 'copies replaced']);
  });

  it('does not count if another server wrote the answer, or it belongs to another request', () => {
    // Guards against an earlier answer that a faulty server sends once more.
    const status = createStatus();
    const notices = { isLeaving: true, retryAfterMs: 500 };
    status.answer({ ...notices, isMisdirected: true });
    status.answer({ ...notices, requestId: OTHER_REQUEST });
    expect([status.logged, status.isOpen()]).toEqual([[], true]);
    status.answer({ limit: { kind: 'named', requestsPerSec: 2 } });
    status.answer({ requestId: OTHER_REQUEST });
    expect(status.limitCount()).toBe(1);
    status.answer({ requestId: undefined });
    expect(status.limitCount()).toBe(0);
  });
});
