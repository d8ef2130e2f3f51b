/** A fault in a change list: where it is and what was expected. */
export interface ConfigProblem {
  readonly path: string;
  readonly message: string;
}

export type ReportProblem = (path: string, message: string) => void;

/** A JSON Schema, for the description of the administration API. */
export type JsonSchema = Readonly<Record<string, unknown>>;

/** The shape of a value: how to check it and how to describe it. */
export interface Validator {
  readonly check: (value: unknown, path: string, report: ReportProblem) => void;
  readonly schema: JsonSchema;
}

export interface ObjectFields {
  readonly required: Readonly<Record<string, Validator>>;
  readonly optional?: Readonly<Record<string, Validator>>;
}

/** An object with exactly these fields; unknown fields are refused, as they are often typing errors. */
export function objectOf({ required, optional = {} }: ObjectFields): Validator {
  const shapes = { ...required, ...optional };
  const schema = {
    type: 'object',
    properties: schemasOf(shapes),
    required: Object.keys(required),
    additionalProperties: false,
  };
  return {
    schema,
    check: (value, path, report) => {
      if (!isRecord(value)) {
        report(path, 'expected an object');
        return;
      }
      Object.keys(required).forEach((key) => {
        if (value[key] === undefined) report(joinPath(path, key), 'is required');
      });
      Object.entries(value).forEach(([key, entry]) => {
        if (entry === undefined) return;
        const shape = getOwn(shapes, key);
        if (shape === undefined) report(joinPath(path, key), 'is not a known field');
        else shape.check(entry, joinPath(path, key), report);
      });
    },
  };
}

export function mapOf(keyShape: Validator, valueShape: Validator): Validator {
  return {
    schema: {
      type: 'object',
      propertyNames: keyShape.schema,
      additionalProperties: valueShape.schema,
    },
    check: (value, path, report) => {
      if (!isRecord(value)) {
        report(path, 'expected an object');
        return;
      }
      Object.entries(value).forEach(([key, entry]) => {
        keyShape.check(key, joinPath(path, key), report);
        valueShape.check(entry, joinPath(path, key), report);
      });
    },
  };
}

export function listOf(shape: Validator, maxLength: number, minLength = 0): Validator {
  return {
    schema: { type: 'array', items: shape.schema, minItems: minLength, maxItems: maxLength },
    check: (value, path, report) => {
      if (!Array.isArray(value)) {
        report(path, 'expected a list');
      } else if (value.length > maxLength || value.length < minLength) {
        report(path, `expected ${minLength} to ${maxLength} entries`);
      } else {
        value.forEach((entry, index) => shape.check(entry, joinPath(path, String(index)), report));
      }
    },
  };
}

export function textMatching(pattern: RegExp, expected: string): Validator {
  return {
    schema: { type: 'string', pattern: pattern.source, description: expected },
    check: (value, path, report) => {
      if (typeof value !== 'string' || !pattern.test(value)) report(path, `expected ${expected}`);
    },
  };
}

export function numberInRange(min: number, max: number): Validator {
  return {
    schema: { type: 'number', minimum: min, maximum: max },
    check: (value, path, report) => {
      const isGood = typeof value === 'number' && value >= min && value <= max;
      if (!isGood) report(path, `expected a number from ${min} to ${max}`);
    },
  };
}

export function oneOf(values: readonly string[]): Validator {
  return {
    schema: { type: 'string', enum: values },
    check: (value, path, report) => {
      if (typeof value !== 'string' || !values.includes(value)) {
        report(path, `expected one of ${values.join(', ')}`);
      }
    },
  };
}

export const booleanValue: Validator = {
  schema: { type: 'boolean' },
  check: (value, path, report) => {
    if (typeof value !== 'boolean') report(path, 'expected true or false');
  },
};

export function nullable(shape: Validator): Validator {
  return {
    schema: { anyOf: [shape.schema, { type: 'null' }] },
    check: (value, path, report) => {
      if (value !== null) shape.check(value, path, report);
    },
  };
}

/** Chooses the shape by the value's `kind`, which is added to the fields of each. */
export function unionByKind(kinds: Readonly<Record<string, ObjectFields>>): Validator {
  const shapes = Object.fromEntries(
    Object.entries(kinds).map(([kind, { required, optional = {} }]) => [
      kind,
      objectOf({ required: { kind: oneOf([kind]), ...required }, optional }),
    ]),
  );
  return {
    schema: { oneOf: Object.values(shapes).map(({ schema }) => schema) },
    check: (value, path, report) => {
      const kind = isRecord(value) ? value.kind : undefined;
      const shape = typeof kind === 'string' ? getOwn(shapes, kind) : undefined;
      if (shape === undefined) {
        report(joinPath(path, 'kind'), `expected one of ${Object.keys(kinds).join(', ')}`);
      } else shape.check(value, path, report);
    },
  };
}

export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function schemasOf(shapes: Readonly<Record<string, Validator>>): JsonSchema {
  return Object.fromEntries(Object.entries(shapes).map(([key, { schema }]) => [key, schema]));
}

function getOwn<T>(entries: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(entries, key) ? entries[key] : undefined;
}

function joinPath(path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`;
}
