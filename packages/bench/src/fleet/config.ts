import { randomUUID } from 'node:crypto';
import {
  createConfigStore,
  createHttpClient,
  createObjectStore,
  createSystemClock,
  createTableStore,
  sha256Hex,
} from '@mimosamill/adapters';
import { asId } from '@mimosamill/core';
import type {
  ConfigChange,
  CustomerId,
  OperationId,
  Revision,
  ServiceName,
  TeamId,
  VersionName,
} from '@mimosamill/core';

const TEAM = asId<TeamId>('guild');

/** Changes that create one engine service, one plain service and one customer for both. */
export function basicChanges(options: {
  readonly engineService: string;
  readonly model: string;
  readonly version: string;
  readonly plainService: string;
  readonly customer: string;
  readonly key: string;
}): ConfigChange[] {
  const engineService = asId<ServiceName>(options.engineService);
  const plainService = asId<ServiceName>(options.plainService);
  return [
    { kind: 'put_team', team: { id: TEAM, admins: [] } },
    {
      kind: 'put_service',
      service: {
        kind: 'engine',
        name: engineService,
        team: TEAM,
        model: options.model,
        adapters: [],
        stableVersion: asId<VersionName>(options.version),
        fencing: 'enforced',
      },
    },
    {
      kind: 'put_service',
      service: {
        kind: 'plain',
        name: plainService,
        team: TEAM,
        operations: { book: { idempotent: false }, lookup: { idempotent: true } },
        hasLookup: true,
      },
    },
    {
      kind: 'put_customer',
      customer: {
        id: asId<CustomerId>(options.customer),
        team: TEAM,
        keyHashes: [sha256Hex(options.key)],
        weight: 1,
        services: [engineService, plainService],
      },
    },
  ];
}

/** Commits changes directly to the configuration store, for fleets without an administration API. */
export async function commitChanges(
  platformAddress: string,
  changes: readonly ConfigChange[],
): Promise<Revision> {
  const http = createHttpClient();
  const platform = { address: platformAddress, timeoutMs: 5_000 };
  const store = createConfigStore(
    createTableStore(http, platform),
    createObjectStore(http, platform),
    createSystemClock(),
  );
  const current = await store.readConfig();
  if (current.kind !== 'ok') throw new Error(current.message);
  const outcome = await store.commit({
    baseConfig: current.config,
    operationId: asId<OperationId>(randomUUID()),
    who: 'bench',
    why: 'experiment set-up',
    changes,
    digest: sha256Hex(JSON.stringify(changes)),
    atMs: Date.now(),
  });
  await http.close();
  if (outcome.kind !== 'accepted') throw new Error(`configuration not accepted: ${outcome.kind}`);
  return outcome.revision.revision;
}
