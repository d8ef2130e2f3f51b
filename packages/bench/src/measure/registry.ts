import { callsMeasurement } from './calls';
import { relay } from './relay/relay';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [
  callsMeasurement,
  relay,
];
