/** A fault in a change list: where it is and what was expected. */
export interface ConfigProblem {
  readonly path: string;
  readonly message: string;
}

export type Report = (path: string, message: string) => void;

/** A JSON Schema, for the description of the administration API. */
export type JsonSchema = Readonly<Record<string, unknown>>;

/** The shape of a value: how to check it and how to describe it. */
export interface Shape {
  readonly check: (value: unknown, path: string, report: Report) => void;
  readonly schema: JsonSchema;
}

export interface Fields {
  readonly required: Readonly<Record<string, Shape>>;
  readonly optional?: Readonly<Record<string, Shape>>;
}

/** An object with exactly these fields; unknown fields are refused, as they are often typing errors. */
export function fields({ required, optional = {} }: Fields): Shape {
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
        if (value[key] === undefined) report(join(path, key), 'is required');
      });
      Object.entries(value).forEach(([key, entry]) => {
        if (entry === undefined) return;
        const shape = own(shapes, key);
        if (shape === undefined) report(join(path, key), 'is not a known field');
        else shape.check(entry, join(path, key), report);
      });
    },
  };
}

export function mapOf(keyShape: Shape, valueShape: Shape): Shape {
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
        keyShape.check(key, join(path, key), report);
        valueShape.check(entry, join(path, key), report);
      });
    },
  };
}

export function listOf(shape: Shape, maxLength: number, minLength = 0): Shape {
  return {
    schema: { type: 'array', items: shape.schema, minItems: minLength, maxItems: maxLength },
    check: (value, path, report) => {
      if (!Array.isArray(value)) {
        report(path, 'expected a list');
      } else if (value.length > maxLength || value.length < minLength) {
        report(path, `expected ${minLength} to ${maxLength} entries`);
      } else {
        value.forEach((entry, index) => shape.check(entry, join(path, String(index)), report));
      }
    },
  };
}

export function text(pattern: RegExp, expected: string): Shape {
  return {
    schema: { type: 'string', pattern: pattern.source, description: expected },
    check: (value, path, report) => {
      if (typeof value !== 'string' || !pattern.test(value)) report(path, `expected ${expected}`);
    },
  };
}

export function numberIn(min: number, max: number): Shape {
  return {
    schema: { type: 'number', minimum: min, maximum: max },
    check: (value, path, report) => {
      const isGood = typeof value === 'number' && value >= min && value <= max;
      if (!isGood) report(path, `expected a number from ${min} to ${max}`);
    },
  };
}

export function oneOf(values: readonly string[]): Shape {
  return {
    schema: { type: 'string', enum: values },
    check: (value, path, report) => {
      if (typeof value !== 'string' || !values.includes(value)) {
        report(path, `expected one of ${values.join(', ')}`);
      }
    },
  };
}

export const flag: Shape = {
  schema: { type: 'boolean' },
  check: (value, path, report) => {
    if (typeof value !== 'boolean') report(path, 'expected true or false');
  },
};

export function nullOr(shape: Shape): Shape {
  return {
    schema: { anyOf: [shape.schema, { type: 'null' }] },
    check: (value, path, report) => {
      if (value !== null) shape.check(value, path, report);
    },
  };
}

/** Chooses the shape by the value's `kind`, which is added to the fields of each. */
export function byKind(kinds: Readonly<Record<string, Fields>>): Shape {
  const shapes = Object.fromEntries(
    Object.entries(kinds).map(([kind, { required, optional = {} }]) => [
      kind,
      fields({ required: { kind: oneOf([kind]), ...required }, optional }),
    ]),
  );
  return {
    schema: { oneOf: Object.values(shapes).map(({ schema }) => schema) },
    check: (value, path, report) => {
      const kind = isRecord(value) ? value.kind : undefined;
      const shape = typeof kind === 'string' ? own(shapes, kind) : undefined;
      if (shape === undefined) {
        report(join(path, 'kind'), `expected one of ${Object.keys(kinds).join(', ')}`);
      } else shape.check(value, path, report);
    },
  };
}

export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function schemasOf(shapes: Readonly<Record<string, Shape>>): JsonSchema {
  return Object.fromEntries(Object.entries(shapes).map(([key, { schema }]) => [key, schema]));
}

function own<T>(entries: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(entries, key) ? entries[key] : undefined;
}

function join(path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`;
}
