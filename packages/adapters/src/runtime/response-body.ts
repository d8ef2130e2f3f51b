import type { z } from 'zod';

export type ParsedBody<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'malformed'; readonly message: string };

/** Validates the body of another process's response, which must not be trusted. */
export function parseResponseBody<S extends z.ZodType>(
  body: string,
  schema: S,
): ParsedBody<z.infer<S>> {
  let json: unknown;
  try {
    json = JSON.parse(body);
  } catch {
    return { kind: 'malformed', message: 'expected JSON in the response body' };
  }
  const checked = schema.safeParse(json);
  if (checked.success) return { kind: 'ok', value: checked.data };
  return {
    kind: 'malformed',
    message: `the response body does not match its schema: ${checked.error.message}`,
  };
}
