import type { Fleet, FleetNode } from '../../fleet/fleet';

/** A way to lose engines or a router in the middle of streams. */
export type LossKind = 'kill' | 'pause' | 'partition' | 'slow' | 'domain' | 'router';

export const LOSS_KINDS: readonly LossKind[] = [
  'kill',
  'pause',
  'partition',
  'slow',
  'domain',
  'router',
];

export interface EngineWork {
  readonly prefill_tokens: number;
  readonly cached_tokens: number;
  readonly decode_tokens: number;
}

/** Time for which a paused, cut or slow engine stays so: longer than any resume may take. */
export const FAULT_DURATION_MS = 3_000;
const SLOW_FACTOR = 20;

/** Breaks an engine; the result puts it right again. Killed engines have to be started anew. */
export async function injectEngineFault(
  fleet: Fleet,
  kind: 'kill' | 'pause' | 'partition' | 'slow',
  engine: FleetNode,
): Promise<() => Promise<void>> {
  switch (kind) {
    case 'kill':
      await engine.process.kill();
      return () => Promise.resolve();
    case 'pause':
      engine.process.pause();
      return () => Promise.resolve(engine.process.resume());
    case 'partition':
      engine.relay?.cut();
      return () => Promise.resolve(engine.relay?.heal());
    case 'slow':
      await fleet.post(engine.directAddress, '/v1/slow-factor', { factor: SLOW_FACTOR });
      return async () => {
        await fleet.post(engine.directAddress, '/v1/slow-factor', { factor: 1 });
      };
    default:
      return kind satisfies never;
  }
}

/** Requests that an engine is running at the moment. */
export async function listRunningRequests(
  fleet: Fleet,
  engine: FleetNode,
): Promise<readonly string[]> {
  const answer = (await fleet.get(engine.directAddress, '/v1/running')) as {
    request_ids: string[];
  };
  return answer.request_ids;
}

export async function readEngineWork(fleet: Fleet, engine: FleetNode): Promise<EngineWork> {
  return (await fleet.get(engine.directAddress, '/v1/work')) as EngineWork;
}
