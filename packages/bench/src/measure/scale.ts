/** The size to design for; docs/CAPACITY.md lists the same figures and a test compares them. */
export const DESIGN_SCALE = {
  nodes: 340,
  engines: 600,
  accelerators: 2_400,
  requestsPerSec: 860,
  tokensPerSec: 370_000,
  customers: 5_100,
  models: 20,
  regions: 3,
  failureDomains: 9,
  configChangesPerDay: 380,
  hostFailuresPerDay: 16,
  hostReplacementsPerDay: 51,
} as const;

/** What a node may spend on control. */
export const CONTROL_BUDGET = {
  cpuPercent: 1.5,
  memoryMb: 64,
  kilobytesPerSec: 17,
} as const;

/** What the platform's table service takes from everyone, per second. */
export const TABLE_BUDGET = { writesPerSec: 300, readsPerSec: 2_000 } as const;
