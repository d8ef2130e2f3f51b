import { callsMeasurement } from './calls';
import { limitsMeasurement } from './limit/limits';
import { overloadMeasurement } from './limit/overload';
import { configMeasurement } from './config';
import { membershipMeasurement } from './membership';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [callsMeasurement, membershipMeasurement];
import { movesMeasurement } from './moves/measure';
import { ordersMeasurement } from './orders/measure';
import { poisonMeasurement } from './poison';
import { relay } from './relay/relay';
import { resume } from './resume/resume';
import { routeMeasurement } from './route/measure';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [
  callsMeasurement,
  limitsMeasurement,
  configMeasurement,
  movesMeasurement,
  ordersMeasurement,
  overloadMeasurement,
  poisonMeasurement,
  relay,
  resume,
  routeMeasurement,
];
