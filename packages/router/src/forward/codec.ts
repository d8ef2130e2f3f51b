import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type {
  RequestHead,
  CustomerId,
  RequestId,
  ServeError,
  ServerId,
  ServerLoadReport,
} from '@mimosamill/core';

export type ParsedRequest =
  | { readonly kind: 'ok'; readonly head: RequestHead }
  | { readonly kind: 'invalid'; readonly message: string };

/** How engines name a copy of a run's memory. */
export interface KvCacheCopySource {
  readonly address: string;
  readonly id: string;
}

/** What the system tells a backend server about a request. */
export interface ForwardMetadata {
  readonly requestId: RequestId;
  /** Time after which the server is to stop. */
  readonly budgetMs: number;
  /** Server for which the request is meant; another one at the address refuses it. */
  readonly serverId: ServerId;
  readonly customerId: CustomerId | undefined;
  /** Last event that the caller has; undefined for a stream from the start. */
  readonly lastEventId: number | undefined;
  /** Engine that is to keep a copy of the run's memory. */
  readonly kvCopyAddress: string | undefined;
  readonly resumeFrom: KvCacheCopySource | undefined;
  /** A stream that has begun goes before those that have not. */
  readonly isPrioritized: boolean;
}

/** What a backend server's answer says beside its status and body. */
export interface ResponseMetadata {
  /** Request that the answer belongs to; undefined if it does not say. */
  readonly requestId: RequestId | undefined;
  /** The server states that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Another server has the address. */
  readonly isMisdirected: boolean;
  /** The body is encoded, so it is not what the server made. */
  readonly isEncoded: boolean;
  /** The server signs what it has made. */
  readonly isSigned: boolean;
  readonly load: ServerLoadReport | undefined;
}

export interface ErrorResponse {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
}

/** How requests and answers are written on the wire, between callers, the system and servers. */
export interface ForwardCodec {
  readonly parseRequest: (
    method: string,
    path: string,
    headers: IncomingHttpHeaders,
  ) => ParsedRequest;
  /** The caller's header fields, less those of one connection, with the system's own. */
  readonly toServerHeaders: (rawHeaders: readonly string[], terms: ForwardMetadata) => string[];
  readonly parseResponse: (status: number, headers: IncomingHttpHeaders) => ResponseMetadata;
  /** A server's header fields as the caller gets them. */
  readonly toCallerHeaders: (headers: IncomingHttpHeaders) => OutgoingHttpHeaders;
  readonly toErrorResponse: (error: ServeError) => ErrorResponse;
}
