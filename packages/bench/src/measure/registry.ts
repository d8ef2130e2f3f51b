import { callsMeasurement } from './calls';
import { membershipMeasurement } from './membership';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [callsMeasurement, membershipMeasurement];
