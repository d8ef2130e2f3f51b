import { basicChanges, commitChanges } from './config';
import type { ConfigChange, Revision } from '@mimosamill/core';
import type { Fleet, FleetNode } from './fleet';

/** Names used by the fleets of tests and measurements. */
export const SAMPLE = {
  engineService: 'bench-guide',
  model: 'guide',
  version: 'v1',
  plainService: 'guild-shop',
  customer: 'rib-gluers',
  key: 'guild-key-1',
} as const;

export const SAMPLE_DOMAINS: readonly string[] = ['jabal-weibdeh', 'marka', 'sweileh'];

/** Commits the sample services and their customer, then further changes. */
export function commitSampleConfig(
  fleet: Fleet,
  further: readonly ConfigChange[] = [],
): Promise<Revision> {
  return commitChanges(fleet.platformAddress, [...basicChanges(SAMPLE), ...further]);
}

/** Starts one engine of the sample model per entry, in the failure domain that the entry names. */
export function startEngines(
  fleet: Fleet,
  failureDomains: readonly string[],
  modelSettings: object,
): Promise<FleetNode[]> {
  return Promise.all(
    failureDomains.map((failureDomain, index) =>
      fleet.startEngine({
        id: `engine-${index}`,
        service: SAMPLE.engineService,
        model: SAMPLE.model,
        versions: [SAMPLE.version],
        failureDomain,
        modelSettings,
      }),
    ),
  );
}

/** Starts one router per failure domain; resolves once all are ready. */
export async function startRouters(
  fleet: Fleet,
  failureDomains: readonly string[] = SAMPLE_DOMAINS,
): Promise<FleetNode[]> {
  const routers: FleetNode[] = [];
  for (const [index, failureDomain] of failureDomains.entries()) {
    routers.push(await fleet.startRouter({ id: `router-${index}`, failureDomain }));
  }
  await fleet.waitReady(routers);
  return routers;
}
