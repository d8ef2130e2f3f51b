import { readFileSync } from 'node:fs';
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import type { z } from 'zod';

/** A problem at one place of a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Line number, from 1. */
  readonly line: number;
  readonly key: string;
  readonly expected: string;
}

export type SettingsOutcome<T> =
  | { readonly kind: 'ok'; readonly settings: T }
  | { readonly kind: 'invalid'; readonly problems: readonly SettingsProblem[] };

/** Reads a file of JSON with comments and validates it against a schema. */
export function loadSettings<S extends z.ZodType>(
  file: string,
  schema: S,
): SettingsOutcome<z.infer<S>> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const expected = `expected a readable file (${(error as Error).message})`;
    return { kind: 'invalid', problems: [{ file, line: 1, key: '', expected }] };
  }
  return parseSettings(file, text, schema);
}

/** Validates the text of a settings file. `file` is used only to report problems. */
export function parseSettings<S extends z.ZodType>(
  file: string,
  text: string,
  schema: S,
): SettingsOutcome<z.infer<S>> {
  const syntaxErrors: ParseError[] = [];
  const value: unknown = parse(text, syntaxErrors, { allowTrailingComma: true });
  if (syntaxErrors.length > 0) {
    return {
      kind: 'invalid',
      problems: syntaxErrors.map((error) => toSyntaxProblem(file, text, error)),
    };
  }
  const checked = schema.safeParse(value);
  if (checked.success) return { kind: 'ok', settings: checked.data };
  const root = parseTree(text, [], { allowTrailingComma: true });
  const problems = checked.error.issues.flatMap(toSchemaProblems).map(({ path, expected }) => ({
    file,
    line: lineOfPath(text, root, path),
    key: path.join('.'),
    expected,
  }));
  return { kind: 'invalid', problems };
}

/** Formats a problem as one line, in the format of compiler errors. */
export function formatProblem(problem: SettingsProblem): string {
  const key = problem.key === '' ? '' : ` ${problem.key}:`;
  return `${problem.file}:${problem.line}:${key} ${problem.expected}`;
}

interface SchemaProblem {
  readonly path: readonly PropertyKey[];
  readonly expected: string;
}

/** Splits an issue about unknown keys, which names their object, into one problem for each key. */
function toSchemaProblems(issue: z.core.$ZodIssue): SchemaProblem[] {
  if (issue.code !== 'unrecognized_keys') return [{ path: issue.path, expected: issue.message }];
  const expected = 'expected a known key; there is no setting of this name';
  return issue.keys.map((key) => ({ path: [...issue.path, key], expected }));
}

function toSyntaxProblem(file: string, text: string, error: ParseError): SettingsProblem {
  return {
    file,
    line: lineOfOffset(text, error.offset),
    key: '',
    expected: `expected valid JSON with comments (${printParseErrorCode(error.error)})`,
  };
}

/** Line of the key, or of the nearest enclosing object if the file lacks the key. */
function lineOfPath(text: string, root: Node | undefined, path: readonly PropertyKey[]): number {
  if (root === undefined) return 1;
  for (let { length } = path; length > 0; length -= 1) {
    const node = findNodeAtLocation(root, path.slice(0, length) as (string | number)[]);
    if (node !== undefined) return lineOfOffset(text, node.offset);
  }
  return lineOfOffset(text, root.offset);
}

function lineOfOffset(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
