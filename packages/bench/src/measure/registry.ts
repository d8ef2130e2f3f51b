import { callsMeasurement } from './calls';
import { configMeasurement } from './config';
import { relay } from './relay/relay';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [
  callsMeasurement,
  configMeasurement,
  relay,
];
