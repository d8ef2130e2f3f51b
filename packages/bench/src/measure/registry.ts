import { broadcastMeasurement } from './broadcast';
import { callsMeasurement } from './calls';
import { configMeasurement } from './config';
import { limitsMeasurement } from './limit/limits';
import { overloadMeasurement } from './limit/overload';
import { controlMeasurement } from './control';
import { loggingMeasurement } from './logging';
import { membershipMeasurement } from './membership';
import { memoryMeasurement } from './memory/measure';
import { movesMeasurement } from './moves/measure';
import { ordersMeasurement } from './orders/measure';
import { poisonMeasurement } from './poison';
import { relayMeasurement } from './relay/relay';
import { resumeMeasurement } from './resume/resume';
import { routeMeasurement } from './route/measure';
import type { Measurement } from './measurement';

/** Every measurement that the command can run. */
export const MEASUREMENTS: readonly Measurement[] = [
  broadcastMeasurement,
  callsMeasurement,
  configMeasurement,
  limitsMeasurement,
  controlMeasurement,
  loggingMeasurement,
  membershipMeasurement,
  memoryMeasurement,
  movesMeasurement,
  ordersMeasurement,
  overloadMeasurement,
  poisonMeasurement,
  relayMeasurement,
  resumeMeasurement,
  routeMeasurement,
];
