/** Header fields by their names in lower case, each with the values of its lines in their order. */
export type HeaderFields = ReadonlyMap<string, readonly string[]>;

/** What ends the body of a response. */
export type BodyFraming =
  | 'length'
  | 'chunks'
  /** The end of the connection, which a server that dies brings about too. */
  | 'connection'
  /** The response has no body. */
  | 'none';

/** Head of a server's response, checked: other code does not look at what the HTTP client has parsed. */
export interface ResponseHead {
  /** From 200 to 599. */
  readonly status: number;
  readonly fields: HeaderFields;
  readonly framing: BodyFraming;
}

export type ResponseHeadOutcome =
  | { readonly kind: 'final'; readonly head: ResponseHead }
  /** Another head follows. */
  | { readonly kind: 'interim' }
  /** Not a head of the protocol, so that nothing of the response can be used. */
  | { readonly kind: 'malformed'; readonly message: string };

/** Header fields as an HTTP client has parsed them: a field that stands on several lines is a list. */
export type ParsedHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

const STATUS_MIN = 100;
const STATUS_SWITCHING_PROTOCOLS = 101;
const FINAL_STATUS_MIN = 200;
const STATUS_MAX = 599;
/** Statuses of responses without a body, whatever their fields say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Checks the head of a response to a request with this method. */
export function parseResponseHead(
  method: string,
  status: number,
  headers: ParsedHeaders,
): ResponseHeadOutcome {
  if (status < STATUS_MIN || status > STATUS_MAX) {
    return malformed(`expected a status from ${STATUS_MIN} to ${STATUS_MAX}, got ${status}`);
  }
  // No request asks for another protocol.
  if (status === STATUS_SWITCHING_PROTOCOLS) return malformed(`expected no status ${status}`);
  if (status < FINAL_STATUS_MIN) return { kind: 'interim' };
  const fields = toFields(headers);
  const framing = framingOf(method, status, fields);
  if (framing === undefined) {
    const codings = listElements(fields, 'transfer-encoding').join(', ');
    return malformed(`expected no transfer encoding but chunked, got ${codings}`);
  }
  return { kind: 'final', head: { status, fields, framing } };
}

/** Fields of a head from their values; for servers whose heads are written in code, such as in tests. */
export function toFields(headers: ParsedHeaders): HeaderFields {
  return new Map(
    Object.entries(headers).flatMap(([name, value]): [string, readonly string[]][] => {
      if (value === undefined) return [];
      return [[name.toLowerCase(), typeof value === 'string' ? [value] : value]];
    }),
  );
}

/** The value of a field that has a single one; undefined if it is absent or its lines differ. */
export function singleValue(fields: HeaderFields, name: string): string | undefined {
  const [first, ...others] = fields.get(name) ?? [];
  return others.every((value) => value === first) ? first : undefined;
}

/** The elements of a field that is a list, in lower case: they may be spread over several lines. */
export function listElements(fields: HeaderFields, name: string): readonly string[] {
  return (fields.get(name) ?? [])
    .flatMap((value) => value.split(','))
    .map((element) => element.trim().toLowerCase())
    .filter((element) => element !== '');
}

/** Undefined if the body has an encoding that is neither a length nor chunks. */
function framingOf(method: string, status: number, fields: HeaderFields): BodyFraming | undefined {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'none';
  if (fields.has('transfer-encoding')) {
    const codings = listElements(fields, 'transfer-encoding');
    return codings.length === 1 && codings[0] === 'chunked' ? 'chunks' : undefined;
  }
  return fields.has('content-length') ? 'length' : 'connection';
}

function malformed(message: string): ResponseHeadOutcome {
  return { kind: 'malformed', message };
}
