import { createHttpClient } from '@mimosamill/adapters';

export interface ClientOptions {
  /** IP and port of the administration API. */
  readonly server: string;
  readonly key: string;
}

export type ClientAnswer =
  | { readonly kind: 'ok'; readonly value: Readonly<Record<string, unknown>> }
  | {
      readonly kind: 'error';
      readonly code: string;
      readonly message: string;
      readonly details?: unknown;
    };

export interface AdminClient {
  readonly get: (path: string, query?: Readonly<Record<string, unknown>>) => Promise<ClientAnswer>;
  readonly post: (path: string, body: unknown) => Promise<ClientAnswer>;
  readonly close: () => Promise<void>;
}

const REQUEST_TIMEOUT_MS = 40_000;
/** Number of times a request is sent while its answer is lost; the operation id makes that safe. */
const MAX_POST_ATTEMPTS = 3;

export function createAdminClient(options: ClientOptions): AdminClient {
  const http = createHttpClient(4);

  async function call(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
  ): Promise<ClientAnswer> {
    const answer = await http.fetch(`http://${options.server}${path}`, {
      method,
      headers: { authorization: `Bearer ${options.key}`, 'content-type': 'application/json' },
      timeoutMs: REQUEST_TIMEOUT_MS,
      ...(body === undefined ? {} : { body }),
    });
    if (answer.kind === 'not_sent') {
      return { kind: 'error', code: 'not_reachable', message: answer.message };
    }
    if (answer.kind === 'no_answer') {
      return { kind: 'error', code: 'outcome_unknown', message: answer.message };
    }
    return toAnswer(answer.status, answer.body);
  }

  return {
    get: (path, query = {}) => call('GET', `${path}${toQuery(query)}`, undefined),
    post: async (path, body) => {
      const text = JSON.stringify(body);
      let answer = await call('POST', path, text);
      for (let attempt = 1; attempt < MAX_POST_ATTEMPTS; attempt += 1) {
        if (answer.kind === 'ok' || answer.code !== 'outcome_unknown') return answer;
        answer = await call('POST', path, text);
      }
      return answer;
    },
    close: http.close,
  };
}

function toAnswer(status: number, body: string): ClientAnswer {
  try {
    const value = JSON.parse(body) as Readonly<Record<string, unknown>>;
    if (status === 200) return { kind: 'ok', value };
    const { error } = value as { error: { code: string; message: string; details?: unknown } };
    return { kind: 'error', ...error };
  } catch {
    return {
      kind: 'error',
      code: 'bad_answer',
      message: `the server answered with status ${status} and an unexpected body`,
    };
  }
}

function toQuery(query: Readonly<Record<string, unknown>>): string {
  const entries = Object.entries(query).filter(([, value]) => value !== undefined);
  if (entries.length === 0) return '';
  const pairs = entries.map(([key, value]): [string, string] => [key, String(value)]);
  return `?${new URLSearchParams(pairs).toString()}`;
}
