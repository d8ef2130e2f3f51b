import type { Clock, DecisionLog, Upstream } from '@mimosamill/adapters';
import type { ForwardServer, ForwardService, RequestId, ServerId } from '@mimosamill/core';
import type { ForwardCodec } from './codec';

export interface ServerIdentityPorts {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly upstream: Pick<Upstream, 'send' | 'isAccepting'>;
  readonly codec: Pick<ForwardCodec, 'toHealthCheckHeaders' | 'parseHealthCheck'>;
}

/** Who answers at an address. */
type Occupant =
  | { readonly kind: 'named'; readonly serverId: ServerId }
  | { readonly kind: 'unnamed'; readonly status: number }
  | { readonly kind: 'none'; readonly message: string };

/** The server may be busy; the end of a caller's answer waits for it. */
const HEALTH_CHECK_TIMEOUT_MS = 500;

/**
 * Whether the server whose answer has just ended with its connection, without a length, still runs. That
 * the address accepts connections does not tell: this process may have stood still, or the end may have
 * come late over the network, and another life of the server, or another server, may have the address.
 * If it cannot be known, the answer is taken for broken.
 */
export async function isSameServerRunning(
  ports: ServerIdentityPorts,
  server: ForwardServer,
  { healthPath }: ForwardService,
  requestId: RequestId,
): Promise<boolean> {
  if (healthPath === undefined) return ports.upstream.isAccepting(server.address);
  const occupant = await findOccupant(ports, server, healthPath);
  if (occupant.kind === 'named' && occupant.serverId === server.serverId) return true;
  ports.decisions.notable('answer.end_unconfirmed', {
    request: requestId,
    server: server.serverId,
    ...describeOccupant(occupant),
  });
  return false;
}

function findOccupant(
  { clock, upstream, codec }: ServerIdentityPorts,
  { address, serverId }: ForwardServer,
  healthPath: string,
): Promise<Occupant> {
  return new Promise((resolve) => {
    const cancelTimeout = clock.runAfter(HEALTH_CHECK_TIMEOUT_MS, () => {
      exchange.cancel();
      resolve({ kind: 'none', message: 'no answer to a health check in time' });
    });
    const finish = (occupant: Occupant): void => {
      cancelTimeout();
      resolve(occupant);
    };
    const exchange = upstream.send(
      {
        address,
        method: 'GET',
        path: healthPath,
        headers: codec.toHealthCheckHeaders(serverId),
        body: undefined,
        confirmEnd: () => Promise.resolve(true),
      },
      {
        onSent: () => undefined,
        onHead: ({ status, fields }) => {
          const named = codec.parseHealthCheck(fields);
          finish(
            named === undefined ? { kind: 'unnamed', status } : { kind: 'named', serverId: named },
          );
        },
        onData: () => undefined,
        onEnd: () => finish({ kind: 'none', message: 'the health check got no answer' }),
        onFailure: (_failure, message) => finish({ kind: 'none', message }),
      },
    );
  });
}

function describeOccupant(occupant: Occupant): Record<string, string | number> {
  switch (occupant.kind) {
    case 'named':
      return { found: occupant.serverId };
    case 'unnamed':
      return { found: 'unnamed', status: occupant.status };
    case 'none':
      return { found: 'none', message: occupant.message };
  }
}
