/** A fault in a change list: where it is and what was expected. */
export interface ConfigProblem {
  readonly path: string;
  readonly message: string;
}

export type Report = (path: string, message: string) => void;

/** Checks the shape of an unknown value and reports what is wrong with it. */
export type Shape = (value: unknown, path: string, report: Report) => void;

export interface Fields {
  readonly required: Readonly<Record<string, Shape>>;
  readonly optional?: Readonly<Record<string, Shape>>;
}

/** An object with exactly these fields; unknown fields are refused, as they are often typing errors. */
export function fields({ required, optional = {} }: Fields): Shape {
  return (value, path, report) => {
    if (!isRecord(value)) {
      report(path, 'expected an object');
      return;
    }
    Object.keys(required).forEach((key) => {
      if (value[key] === undefined) report(join(path, key), 'is required');
    });
    Object.entries(value).forEach(([key, entry]) => {
      if (entry === undefined) return;
      const shape = own(required, key) ?? own(optional, key);
      if (shape === undefined) report(join(path, key), 'is not a known field');
      else shape(entry, join(path, key), report);
    });
  };
}

export function mapOf(keyShape: Shape, valueShape: Shape): Shape {
  return (value, path, report) => {
    if (!isRecord(value)) {
      report(path, 'expected an object');
      return;
    }
    Object.entries(value).forEach(([key, entry]) => {
      keyShape(key, join(path, key), report);
      valueShape(entry, join(path, key), report);
    });
  };
}

export function listOf(shape: Shape, maxLength: number): Shape {
  return (value, path, report) => {
    if (!Array.isArray(value)) report(path, 'expected a list');
    else if (value.length > maxLength) report(path, `has more than ${maxLength} entries`);
    else value.forEach((entry, index) => shape(entry, join(path, String(index)), report));
  };
}

export function text(pattern: RegExp, expected: string): Shape {
  return (value, path, report) => {
    if (typeof value !== 'string' || !pattern.test(value)) report(path, `expected ${expected}`);
  };
}

export function numberIn(min: number, max: number, isInteger = false): Shape {
  return (value, path, report) => {
    const isGood =
      typeof value === 'number' &&
      value >= min &&
      value <= max &&
      (!isInteger || Number.isInteger(value));
    const expected = isInteger ? 'an integer' : 'a number';
    if (!isGood) report(path, `expected ${expected} from ${min} to ${max}`);
  };
}

export function oneOf(values: readonly string[]): Shape {
  return (value, path, report) => {
    if (typeof value !== 'string' || !values.includes(value)) {
      report(path, `expected one of ${values.join(', ')}`);
    }
  };
}

export const flag: Shape = (value, path, report) => {
  if (typeof value !== 'boolean') report(path, 'expected true or false');
};

export function nullOr(shape: Shape): Shape {
  return (value, path, report) => {
    if (value !== null) shape(value, path, report);
  };
}

/** Chooses the shape by the value's `kind`. */
export function byKind(shapes: Readonly<Record<string, Shape>>): Shape {
  return (value, path, report) => {
    const kind = isRecord(value) ? value.kind : undefined;
    const shape = typeof kind === 'string' ? own(shapes, kind) : undefined;
    if (shape === undefined) {
      report(join(path, 'kind'), `expected one of ${Object.keys(shapes).join(', ')}`);
    } else shape(value, path, report);
  };
}

export function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function own<T>(entries: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(entries, key) ? entries[key] : undefined;
}

function join(path: string, key: string): string {
  return path === '' ? key : `${path}.${key}`;
}
