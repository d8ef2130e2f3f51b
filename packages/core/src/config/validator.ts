/** An invalid value in a change list: its path and what was expected. */
export interface ConfigProblem {
  readonly path: string;
  readonly message: string;
}

export type ReportProblem = (path: string, message: string) => void;

/** A JSON Schema for the description of the administration API. */
export type JsonSchema = Readonly<Record<string, unknown>>;

/** Checks values and describes the valid ones by a JSON Schema. */
export interface Validator {
  readonly check: (value: unknown, path: string, report: ReportProblem) => void;
  readonly schema: JsonSchema;
}

export interface ObjectFields {
  readonly required: Readonly<Record<string, Validator>>;
  readonly optional?: Readonly<Record<string, Validator>>;
}

/** An object with only these fields; others are refused, as they are often typing errors. */
export function objectOf({ required, optional = {} }: ObjectFields): Validator {
  const validators = { ...required, ...optional };
  const schema = {
    type: 'object',
    properties: schemasOf(validators),
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
        const validator = getOwn(validators, key);
        if (validator === undefined) report(joinPath(path, key), 'is not a known field');
        else validator.check(entry, joinPath(path, key), report);
      });
    },
  };
}

export function mapOf(keyValidator: Validator, valueValidator: Validator): Validator {
  return {
    schema: {
      type: 'object',
      propertyNames: keyValidator.schema,
      additionalProperties: valueValidator.schema,
    },
    check: (value, path, report) => {
      if (!isRecord(value)) {
        report(path, 'expected an object');
        return;
      }
      Object.entries(value).forEach(([key, entry]) => {
        keyValidator.check(key, joinPath(path, key), report);
        valueValidator.check(entry, joinPath(path, key), report);
      });
    },
  };
}

export function listOf(validator: Validator, maxLength: number, minLength = 0): Validator {
  return {
    schema: { type: 'array', items: validator.schema, minItems: minLength, maxItems: maxLength },
    check: (value, path, report) => {
      if (!Array.isArray(value)) {
        report(path, 'expected a list');
      } else if (value.length > maxLength || value.length < minLength) {
        report(path, `expected ${minLength} to ${maxLength} entries`);
      } else {
        value.forEach((entry, index) =>
          validator.check(entry, joinPath(path, String(index)), report),
        );
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
      const isInRange = typeof value === 'number' && value >= min && value <= max;
      if (!isInRange) report(path, `expected a number from ${min} to ${max}`);
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

export function nullable(validator: Validator): Validator {
  return {
    schema: { anyOf: [validator.schema, { type: 'null' }] },
    check: (value, path, report) => {
      if (value !== null) validator.check(value, path, report);
    },
  };
}

/** A union discriminated by `kind`, which is added to the required fields of each member. */
export function unionByKind(kinds: Readonly<Record<string, ObjectFields>>): Validator {
  const validators = Object.fromEntries(
    Object.entries(kinds).map(([kind, { required, optional = {} }]) => [
      kind,
      objectOf({ required: { kind: oneOf([kind]), ...required }, optional }),
    ]),
  );
  return {
    schema: { oneOf: Object.values(validators).map(({ schema }) => schema) },
    check: (value, path, report) => {
      const kind = isRecord(value) ? value.kind : undefined;
      const validator = typeof kind === 'string' ? getOwn(validators, kind) : undefined;
      if (validator === undefined) {
        report(joinPath(path, 'kind'), `expected one of ${Object.keys(kinds).join(', ')}`);
      } else validator.check(value, path, report);
    },
  };
}

export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function schemasOf(validators: Readonly<Record<string, Validator>>): JsonSchema {
  return Object.fromEntries(Object.entries(validators).map(([key, { schema }]) => [key, schema]));
}

function getOwn<T>(entries: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(entries, key) ? entries[key] : undefined;
}

function joinPath(path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`;
}
