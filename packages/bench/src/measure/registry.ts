import { callsMeasurement } from './calls';
import { controlMeasurement } from './control';
import { membershipMeasurement } from './membership';
import { movesMeasurement } from './moves/measure';
import { poisonMeasurement } from './poison';
import { relay } from './relay/relay';
import { resume } from './resume/resume';
import { routeMeasurement } from './route/measure';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [
  callsMeasurement,
  controlMeasurement,
  membershipMeasurement,
  movesMeasurement,
  poisonMeasurement,
  relay,
  resume,
  routeMeasurement,
];
