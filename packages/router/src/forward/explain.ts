import { decideStreamAdmission, pickTarget } from '@mimosamill/core';
import { ADMISSION_MESSAGES } from './admission';
import { expectedOutputTokens } from './engine-choice';
import { parseExplainQuery } from './explain-query';
import { finiteMs } from './finite';
import {
  NO_BACKEND_RETRY_MS,
  NO_ROOM_MESSAGE,
  NO_ROUTE_MESSAGE,
  NO_SERVER_MESSAGE,
  NO_SERVICE_MESSAGE,
  OUTDATED_MESSAGE,
  outdatedRetryMs,
  STOPPING_RETRY_MS,
} from './ingress';
import { noRoomForMs } from './room';
import type { Clock } from '@mimosamill/adapters';
import type {
  CustomerId,
  ForwardCustomer,
  ForwardRoute,
  ForwardService,
  ForwardTable,
  FreshnessBounds,
  PlacementExplanation,
  RouteName,
  StreamAdmission,
} from '@mimosamill/core';
import type { ExplainQuery } from './explain-query';
import type { Ingress } from './ingress';
import type { ForwardPorts } from './ports';

export interface ExplainPorts extends Pick<
  ForwardPorts,
  'fleet' | 'placer' | 'serviceLoads' | 'outputSizes'
> {
  readonly hostId: string;
  readonly clock: Clock;
  readonly versionMoves: Pick<
    ForwardPorts['versionMoves'],
    'excludedServers' | 'excludedCopyHolders'
  >;
  readonly table: () => ForwardTable | undefined;
  readonly configAgeMs: () => number;
  readonly serverListAgeMs: () => number;
  readonly freshness: () => FreshnessBounds;
  readonly meanDurationMs: (route: RouteName) => number | undefined;
  readonly refusesToStop: Ingress['refusesToStop'];
}

/** The check that would refuse the request now, and when its caller would be told to come back. */
interface Refusal {
  readonly check:
    | 'stopping'
    | 'no_configuration'
    | 'configuration_too_old'
    | 'no_route'
    | 'access'
    | 'no_service'
    | 'no_server_listed'
    | 'limits_or_pauses'
    | 'admission'
    | 'placement';
  readonly message: string;
  /** The answer's Retry-After lies in this range; undefined if it has none. */
  readonly retryAfterMs?: RangeMs;
}

interface RangeMs {
  readonly min: number;
  readonly max: number;
}

/** What a request meets by its own random number: parts of the requests like it, from 0 to 1. */
interface AdmissionShares {
  readonly level: number;
  readonly levels: number;
  readonly sendRatio: number;
  readonly waitRatio: number;
  readonly refuseRatio: number;
  readonly retryAfterMs: RangeMs | undefined;
}

interface ExplainAnswer {
  readonly status: 200 | 400;
  readonly body: unknown;
}

/** Admission is asked for this many evenly spaced random numbers. */
const ADMISSION_DRAWS = 50;
/** What depends on the body or the key of a request, or on its earlier attempts. */
const NOT_CHECKED = ['key', 'condemned_content', 'end_before_deadline', 'memory_for_bodies'];

/** Answers operators who ask where a request would go now; it sends, counts and claims nothing. */
export function createExplainer(ports: ExplainPorts): (url: string) => ExplainAnswer {
  const { clock, fleet, placer, versionMoves } = ports;

  function explain(query: ExplainQuery) {
    const table = ports.table();
    const route = table?.match(query.host, query.path);
    const name = route === undefined ? undefined : pickTarget(route.targets, query.draw);
    const service = name === undefined ? undefined : table?.service(name);
    const customer = table?.config.customers?.find(
      ({ customerId }) => customerId === (query.customer as CustomerId | undefined),
    );
    const nowMs = clock.monotonicMs();
    const placement =
      route === undefined || service === undefined
        ? undefined
        : placementOf(route, service, query, nowMs);
    const admission =
      table === undefined || route === undefined || service === undefined || !placement
        ? undefined
        : admissionOf(table, route, service, customer, placement, nowMs);
    return {
      host: ports.hostId,
      method: query.method,
      draw: query.draw,
      configuration: { revision: table?.config.revision, ageMs: finiteMs(ports.configAgeMs()) },
      serverListAgeMs: finiteMs(ports.serverListAgeMs()),
      route: route && {
        name: route.name,
        kind: route.kind,
        pathPrefix: route.pathPrefix,
        targets: route.targets,
      },
      service: service?.name,
      refusal:
        refusalBeforeService(table, route, query, customer) ??
        refusalOfService(service, placement, admission, query),
      admission,
      placement,
      notChecked: NOT_CHECKED,
    };
  }

  /** In the order of the checks that a request meets, so that the first one is named. */
  function refusalBeforeService(
    table: ForwardTable | undefined,
    route: ForwardRoute | undefined,
    query: ExplainQuery,
    customer: ForwardCustomer | undefined,
  ): Refusal | undefined {
    const stopping: Refusal = {
      check: 'stopping',
      message: 'the router is stopping',
      retryAfterMs: exactly(STOPPING_RETRY_MS),
    };
    if (ports.refusesToStop(undefined)) return stopping;
    const ageMs = ports.configAgeMs();
    const retryAfterMs = { min: outdatedRetryMs(ageMs, 0), max: outdatedRetryMs(ageMs, 1) };
    const { serveMaxAgeMs, denyMaxAgeMs } = ports.freshness();
    const hasKey = customer?.keys[0] !== undefined;
    const isKnown = table?.config.customers === undefined || hasKey;
    const isDenied = !isKnown && route?.isPublic !== true;
    const isDenial = route === undefined || isDenied;
    const maxAgeMs = isDenial ? denyMaxAgeMs : serveMaxAgeMs;
    // Requests without a customer are served by a configuration of any age.
    if (table !== undefined && (isDenial || hasKey) && ageMs > maxAgeMs) {
      const message = `${OUTDATED_MESSAGE}; the store is asked once more before`;
      return { check: 'configuration_too_old', message, retryAfterMs };
    }
    if (table === undefined) {
      return { check: 'no_configuration', message: OUTDATED_MESSAGE, retryAfterMs };
    }
    if (route === undefined) {
      return { check: 'no_route', message: NO_ROUTE_MESSAGE };
    }
    if (isDenied) {
      const message =
        query.customer === undefined
          ? 'the route needs a customer'
          : 'the configuration has no key of the customer';
      return { check: 'access', message };
    }
    return ports.refusesToStop(route) ? stopping : undefined;
  }

  function refusalOfService(
    service: ForwardService | undefined,
    placement: PlacementExplanation | undefined,
    admission: AdmissionShares | undefined,
    { draw }: ExplainQuery,
  ): Refusal | undefined {
    const retryAfterMs = exactly(NO_BACKEND_RETRY_MS);
    if (service === undefined) {
      return { check: 'no_service', message: NO_SERVICE_MESSAGE, retryAfterMs };
    }
    if (fleet.usable(service.name).length === 0) {
      return { check: 'no_server_listed', message: NO_SERVER_MESSAGE, retryAfterMs };
    }
    const roomMs = (random: number): number | undefined =>
      noRoomForMs({ clock, fleet, random: () => random }, service.name, draw);
    const [min, max] = [roomMs(0), roomMs(1)];
    if (min !== undefined && max !== undefined) {
      return {
        check: 'limits_or_pauses',
        message: NO_ROOM_MESSAGE,
        retryAfterMs: { min, max },
      };
    }
    if (placement?.chosenId === undefined) {
      return { check: 'placement', message: 'no server can take the request' };
    }
    if (admission?.refuseRatio !== 1) return undefined;
    return {
      check: 'admission',
      message: ADMISSION_MESSAGES.yields,
      ...(admission.retryAfterMs && { retryAfterMs: admission.retryAfterMs }),
    };
  }

  function placementOf(
    route: ForwardRoute,
    service: ForwardService,
    query: ExplainQuery,
    nowMs: number,
  ): PlacementExplanation | undefined {
    const common = {
      service: service.name,
      limitDraw: query.draw,
      excluded: versionMoves.excludedServers(service.name, query.draw),
    };
    if (route.kind !== 'stream') {
      return placer.explain.call({ ...common, route: route.name }, nowMs);
    }
    if (service.engine === undefined) return undefined;
    const bounds = { outputTokens: query.output_tokens, lengthHint: query.length_hint };
    return placer.explain.stream(
      {
        ...common,
        capacity: service.engine,
        promptTokens: query.prompt_tokens,
        outputTokens: expectedOutputTokens(ports, route.name, service.name, bounds),
        excludedCopyHolders: versionMoves.excludedCopyHolders(service.name),
      },
      nowMs,
    );
  }

  function admissionOf(
    table: ForwardTable,
    route: ForwardRoute,
    service: ForwardService,
    customer: ForwardCustomer | undefined,
    { candidates }: PlacementExplanation,
    nowMs: number,
  ): AdmissionShares | undefined {
    const priorityClass = table.priorityClassOf(route, service.name, customer?.keys[0]);
    const expectedFirstEventMs = candidates[0]?.expectedFirstEventMs;
    if (priorityClass === undefined || expectedFirstEventMs === undefined) return undefined;
    if (service.engine === undefined) return undefined;
    const load = ports.serviceLoads.of(service.name, service.engine, nowMs);
    const decisions = Array.from({ length: ADMISSION_DRAWS }, (_, no) =>
      decideStreamAdmission({
        priorityClass,
        load,
        targetMs: route.targetMs,
        usedMs: 0,
        leftMs: route.timeoutMs,
        expectedFirstEventMs,
        durationMs: ports.meanDurationMs(route.name),
        draw: (no + 0.5) / ADMISSION_DRAWS,
      }),
    );
    return { ...priorityClass, ...sharesOf(decisions) };
  }

  return (url) => {
    const query = parseExplainQuery(url);
    if (typeof query === 'string') {
      return { status: 400, body: { error: { code: 'bad_request', message: query } } };
    }
    return { status: 200, body: explain(query) };
  };
}

function sharesOf(decisions: readonly StreamAdmission[]) {
  const ratioOf = (kind: StreamAdmission['kind']): number =>
    decisions.filter((decision) => decision.kind === kind).length / decisions.length;
  const retries = decisions.flatMap((decision) =>
    decision.kind === 'refuse' ? [decision.retryAfterMs] : [],
  );
  return {
    sendRatio: ratioOf('send'),
    waitRatio: ratioOf('wait'),
    refuseRatio: ratioOf('refuse'),
    retryAfterMs:
      retries.length === 0 ? undefined : { min: Math.min(...retries), max: Math.max(...retries) },
  };
}

function exactly(ms: number): RangeMs {
  return { min: ms, max: ms };
}
