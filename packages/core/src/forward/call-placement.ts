import type { ServerId } from '../ids';
import type { Fleet, ServerState } from './fleet';
import type { CallPlacementInput, CostRecorder } from './placement-types';

/** What the placement of calls shares with that of streams. */
export interface CallPlacementParts {
  readonly fleet: Fleet;
  readonly penaltyMs: (state: ServerState, nowMs: number, record?: CostRecorder) => number;
  readonly limitCostMs: (state: ServerState, nowMs: number, record?: CostRecorder) => number;
  readonly cheapest: (
    states: readonly ServerState[],
    costOf: (state: ServerState) => number,
  ) => ServerState | undefined;
}

export type CallCost = (
  state: ServerState,
  route: string,
  nowMs: number,
  record?: CostRecorder,
) => number;

export type CallPlacer = (
  input: CallPlacementInput,
  nowMs: number,
  random: () => number,
) => ServerId | undefined;

/** Cost of a server to which the outlier detector gives weight 0. */
const UNHEALTHY_COST_MS = 4_000;
/** Time constant with which other routers' load in a server's report decays. */
const REPORT_DECAY_MS = 3_000;
/** Cost of a plain server whose slots are all in use; proportionally less or more otherwise. */
const CALL_QUEUE_COST_MS = 100;
const CALL_JITTER_MS = 20;
/** Cost of a plain server where work takes twice as long as usual; bounded like the pace. */
const CALL_PACE_COST_MS = 50;

/** Chooses plain servers for calls, while many routers choose from reports of different ages. */
export function createCallPlacer(parts: CallPlacementParts): {
  readonly placeCall: CallPlacer;
  /** Without the random part. */
  readonly callCostMs: CallCost;
  readonly callMaxJitterMs: number;
} {
  const { fleet, penaltyMs, limitCostMs, cheapest } = parts;

  const callCostMs: CallCost = (state, route, nowMs, record) => {
    const running = state.ownRunning + othersRunning(state, nowMs);
    const weight = fleet.outlierDetector.weight(state.server.serverId, route);
    const paceRatio = fleet.pace.paceRatio(state.server.serverId, nowMs);
    const queueMs = (running / Math.max(1, state.server.slots)) * CALL_QUEUE_COST_MS * paceRatio;
    const paceMs = (paceRatio - 1) * CALL_PACE_COST_MS;
    const unhealthyMs = (1 - weight) * UNHEALTHY_COST_MS;
    record?.('queue', queueMs);
    record?.('pace', paceMs);
    record?.('unhealthy', unhealthyMs);
    return (
      queueMs +
      paceMs +
      unhealthyMs +
      limitCostMs(state, nowMs, record) +
      penaltyMs(state, nowMs, record)
    );
  };

  const placeCall: CallPlacer = (input, nowMs, random) => {
    const { service, limitDraw: draw } = input;
    const claim = { service, draw, isFailover: false };
    const open = fleet.withRoom(input.service, claim, nowMs).filter(({ server: { serverId } }) => {
      const isSpare = fleet.limits.usedRatio(serverId, nowMs) === 0;
      return !input.excluded.has(serverId) && (input.isOptional !== true || isSpare);
    });
    const probe = open.find(({ server }) =>
      fleet.outlierDetector.claimProbe(server.serverId, input.route, nowMs),
    );
    if (probe !== undefined) return probe.server.serverId;
    const costOf = (state: ServerState): number =>
      callCostMs(state, input.route, nowMs) + CALL_JITTER_MS * random();
    return cheapest(open, costOf)?.server.serverId;
  };

  return { placeCall, callCostMs, callMaxJitterMs: CALL_JITTER_MS };
}

/** Requests of other routers at the server, estimated from its last load report. */
function othersRunning(state: ServerState, nowMs: number): number {
  const { report } = state;
  if (report === undefined) return 0;
  const others = Math.max(0, report.running + report.waiting - report.ownRunning);
  return others * Math.exp(-Math.max(0, nowMs - report.atMs) / REPORT_DECAY_MS);
}
