import { overloadMeasurement } from './limit/overload';
import { routeMeasurement } from './route/measure';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [routeMeasurement, overloadMeasurement];
