import type { z } from 'zod';

export type ParsedBody<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'malformed'; readonly message: string };

/** Checks the body of another system's answer, which may be anything. */
export function parseResponseBody<S extends z.ZodType>(
  body: string,
  schema: S,
): ParsedBody<z.infer<S>> {
  let json: unknown;
  try {
    json = JSON.parse(body);
  } catch {
    return { kind: 'malformed', message: 'the answer is not valid JSON' };
  }
  const checked = schema.safeParse(json);
  if (checked.success) return { kind: 'ok', value: checked.data };
  return { kind: 'malformed', message: `the answer has another shape: ${checked.error.message}` };
}
