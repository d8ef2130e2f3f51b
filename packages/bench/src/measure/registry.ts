import { callsMeasurement } from './calls';
import { movesMeasurement } from './moves/measure';
import { relay } from './relay/relay';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [callsMeasurement, movesMeasurement, relay];
import { routeMeasurement } from './route/measure';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [routeMeasurement];
import { poisonMeasurement } from './poison';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [callsMeasurement, poisonMeasurement];
