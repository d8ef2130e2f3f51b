import type { FleetConfig } from '@mimosamill/core';

/** Read-only access to the configuration for the other modules of the router. */
export interface ConfigSource {
  /** Undefined until the first complete configuration has arrived. */
  readonly current: () => FleetConfig | undefined;
  readonly onChange: (fn: (config: FleetConfig) => void) => void;
  /** Why the router has no configuration yet; undefined once it has one. */
  readonly notReadyReason: () => string | undefined;
}
