import { callsMeasurement } from './calls';
import { configMeasurement } from './config';
import { movesMeasurement } from './moves/measure';
import { poisonMeasurement } from './poison';
import { relay } from './relay/relay';
import { resume } from './resume/resume';
import { routeMeasurement } from './route/measure';
import type { Measurement } from './measurement';

/** Every measurement by name. */
export const MEASUREMENTS: readonly Measurement[] = [
  callsMeasurement,
  configMeasurement,
  movesMeasurement,
  poisonMeasurement,
  relay,
  resume,
  routeMeasurement,
];
