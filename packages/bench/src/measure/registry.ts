import { callsMeasurement } from './calls';
import { poisonMeasurement } from './poison';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [callsMeasurement, poisonMeasurement];
