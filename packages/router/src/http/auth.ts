import { createServeError } from '@mimosamill/core';
import type { IncomingMessage } from 'node:http';
import type { CustomerConfig, FleetConfig, ServeError, ServiceName } from '@mimosamill/core';
import type { ConfigSource } from '../config/source';

export type AuthOutcome =
  | { readonly kind: 'ok'; readonly customer: CustomerConfig; readonly config: FleetConfig }
  | { readonly kind: 'error'; readonly error: ServeError };

/** Finds the customer to whom the API key of a request belongs. */
export interface Authenticator {
  readonly authenticate: (req: IncomingMessage) => AuthOutcome;
}

export function createAuthenticator(
  source: ConfigSource,
  hashKey: (key: string) => string,
): Authenticator {
  let customersByKeyHash = new Map<string, CustomerConfig>();

  function indexCustomers(config: FleetConfig): void {
    customersByKeyHash = new Map(
      Object.values(config.customers).flatMap((customer) =>
        customer.keyHashes.map((keyHash): [string, CustomerConfig] => [keyHash, customer]),
      ),
    );
  }

  const initial = source.current();
  if (initial !== undefined) indexCustomers(initial);
  source.onChange(indexCustomers);

  return {
    authenticate: (req) => {
      const config = source.current();
      if (config === undefined) {
        const reason = source.notReadyReason() ?? 'no configuration';
        return { kind: 'error', error: createServeError('not_ready', reason, 'not_run', 1_000) };
      }
      const key = bearerKey(req.headers.authorization);
      const customer = key === undefined ? undefined : customersByKeyHash.get(hashKey(key));
      if (customer === undefined) {
        return {
          kind: 'error',
          error: createServeError(
            'unauthorized',
            'unknown or missing API key; expected "Authorization: Bearer KEY"',
          ),
        };
      }
      return { kind: 'ok', customer, config };
    },
  };
}

/** Whether a customer may use a service. */
export function mayUse(customer: CustomerConfig, service: ServiceName): boolean {
  return customer.services.includes(service);
}

function bearerKey(header: string | undefined): string | undefined {
  const match = /^Bearer (\S+)$/iu.exec(header ?? '');
  return match?.[1];
}
