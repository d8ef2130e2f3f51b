import * as z from 'zod';

const TOKENS_MAX = 10_000_000;
const TEXT_MAX_CHARS = 2_048;
const DEFAULT_DRAW = 0.5;

const text = z.string({ error: 'missing' }).min(1, 'missing').max(TEXT_MAX_CHARS);
const tokens = z
  .string()
  .regex(/^\d+$/, 'expected a whole number of tokens')
  .transform(Number)
  .pipe(z.number().max(TOKENS_MAX, `expected at most ${TOKENS_MAX} tokens`));
const QUERY = z.strictObject({
  host: text,
  path: text.startsWith('/', 'expected a path from "/" on'),
  method: z
    .string()
    .regex(/^[A-Z]{1,16}$/, 'expected a method in capitals')
    .default('POST'),
  prompt_tokens: tokens.default(0),
  output_tokens: tokens.default(0),
  length_hint: tokens.optional(),
  customer: text.optional(),
  draw: z
    .string()
    .regex(/^0(\.\d+)?$/, 'expected a number from 0 to below 1')
    .transform(Number)
    .default(DEFAULT_DRAW),
});
/** The request that an operator asks about. */
export type ExplainQuery = z.infer<typeof QUERY>;

/** The query, or what is wrong with it. */
export function parseExplainQuery(url: string): ExplainQuery | string {
  const pairs = [...new URL(url, 'http://router').searchParams];
  const repeated = pairs.find(([name], at) => pairs.findIndex(([other]) => other === name) < at);
  if (repeated !== undefined) return `${repeated[0]}: given more than once`;
  const parsed = QUERY.safeParse(Object.fromEntries(pairs));
  if (parsed.success) return parsed.data;
  return parsed.error.issues
    .map((issue) =>
      issue.code === 'unrecognized_keys'
        ? `${issue.keys.join(', ')}: not a parameter`
        : `${issue.path.join('.')}: ${issue.message}`,
    )
    .join('; ');
}
