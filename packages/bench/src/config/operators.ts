import type { AdminClient, ClientAnswer } from '@mimosamill/admin';

export interface AcceptedChange {
  readonly operationId: string;
  readonly revision: number;
  readonly acceptedAtMs: number;
}

export interface OperatorCounts {
  readonly conflicts: number;
  readonly races: number;
  /** Races in which the number of changes accepted on the common base revision was not one. */
  readonly wrongRaces: number;
  /** Changes found accepted by looking up the operation id after a lost answer. */
  readonly lookedUp: number;
  /** Answers that nothing changed or that the outcome is still unknown; the change is sent again. */
  readonly retries: number;
}

/** Simulates two operators who change the configuration through the administration API. */
export interface Operators {
  /** Submits one change, repeated under the same operation id until its outcome is known. */
  readonly change: () => Promise<void>;
  /** Submits two changes on the same base; the refused one is resubmitted on the new revision. */
  readonly race: () => Promise<void>;
  readonly accepted: readonly AcceptedChange[];
  readonly counts: () => OperatorCounts;
}

const RETRY_MS = 200;

export function createOperators(clients: readonly [AdminClient, AdminClient]): Operators {
  const accepted: AcceptedChange[] = [];
  let operations = 0;
  let conflicts = 0;
  let races = 0;
  let wrongRaces = 0;
  let lookedUp = 0;
  let retries = 0;

  function pause(): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, RETRY_MS);
    });
  }

  async function readBase(client: AdminClient): Promise<number> {
    for (;;) {
      const answer = await client.get('/v1/config/teams', { limit: 1 });
      if (answer.kind === 'ok') return Number(answer.value['revision']);
      await pause();
    }
  }

  /** Repeats the change until the answer is `ok` or a conflict. */
  async function submit(client: AdminClient, base: number): Promise<ClientAnswer> {
    operations += 1;
    const operationId = `op-${operations}`;
    const changes = [{ kind: 'put_team', team: { id: `team-${operations}`, admins: [] } }];
    const body = { operationId, baseRevision: base, why: 'measurement', changes };
    for (;;) {
      const answer = await client.post('/v1/revisions', body);
      if (answer.kind === 'ok') {
        note(operationId, answer.value);
        return answer;
      }
      if (answer.code === 'conflict') {
        conflicts += 1;
        return answer;
      }
      retries += 1;
      await pause();
    }
  }

  function note(operationId: string, value: Readonly<Record<string, unknown>>): void {
    if (value['wasLookedUp'] === true) lookedUp += 1;
    accepted.push({
      operationId,
      revision: Number(value['revision']),
      acceptedAtMs: performance.now(),
    });
  }

  async function changeBy(client: AdminClient): Promise<void> {
    const answer = await submit(client, await readBase(client));
    if (answer.kind === 'error') await changeBy(client);
  }

  async function race(): Promise<void> {
    const base = Math.max(...(await Promise.all(clients.map(readBase))));
    const answers = await Promise.all(clients.map((client) => submit(client, base)));
    const winners = answers.filter(({ kind }) => kind === 'ok').length;
    races += 1;
    if (winners !== 1) wrongRaces += 1;
    const [first, second] = answers;
    if (first?.kind === 'error') await changeBy(clients[0]);
    if (second?.kind === 'error') await changeBy(clients[1]);
  }

  return {
    change: () => changeBy(clients[operations % 2 === 0 ? 0 : 1]),
    race,
    accepted,
    counts: () => ({ conflicts, races, wrongRaces, lookedUp, retries }),
  };
}
