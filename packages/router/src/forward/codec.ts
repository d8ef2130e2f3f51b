import type { HeaderFields, ResponseHead } from '@mimosamill/adapters';
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type {
  RequestHead,
  CustomerId,
  RequestId,
  ServeError,
  ServerId,
  ServerLoadReport,
  Urgency,
} from '@mimosamill/core';

export type ParsedRequest =
  | { readonly kind: 'ok'; readonly head: RequestHead }
  | { readonly kind: 'invalid'; readonly message: string };

/** Address and id by which engines find a copy of a stream's KV cache. */
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
  /** Engine that is to hold a copy of the stream's KV cache. */
  readonly kvCopyAddress: string | undefined;
  readonly resumeFrom: KvCacheCopySource | undefined;
  readonly urgency: Urgency;
}

/** What a server says about the requests that it takes from all routers together. */
export type LimitNotice =
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly requestsPerSec: number }
  /** It names a limit, but not one that can be read. */
  | { readonly kind: 'unreadable' };

/** What the header fields of a backend server's response say. */
export interface ResponseMetadata {
  /** Request that the answer belongs to; undefined if it does not say. */
  readonly requestId: RequestId | undefined;
  /** The server states that it did not run the request. */
  readonly wasNotRun: boolean;
  /** Another server has the address. */
  readonly isMisdirected: boolean;
  /** The body has a content encoding, which backend servers never use: an intermediary changed it. */
  readonly isEncoded: boolean;
  /** The response carries the signature that backend servers add to their own responses. */
  readonly isSigned: boolean;
  readonly load: ServerLoadReport | undefined;
  /** The server is about to stop and takes no new requests for long. */
  readonly isLeaving: boolean;
  /** The server did not run the request, and wants none of this router for so long. */
  readonly retryAfterMs: number | undefined;
  readonly limit: LimitNotice;
}

export interface ErrorResponse {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: string;
}

/** Translates requests and responses between callers, routers and backend servers. */
export interface ForwardCodec {
  readonly parseRequest: (
    method: string,
    path: string,
    headers: IncomingHttpHeaders,
  ) => ParsedRequest;
  /** The caller's header fields without hop-by-hop ones, plus those for the server. */
  readonly toServerHeaders: (rawHeaders: readonly string[], terms: ForwardMetadata) => string[];
  readonly parseResponse: (head: ResponseHead) => ResponseMetadata;
  /** Header fields of a health check that only this server is to answer. */
  readonly toHealthCheckHeaders: (serverId: ServerId) => string[];
  /** The server that answered a health check; undefined if it does not say. */
  readonly parseHealthCheck: (fields: HeaderFields) => ServerId | undefined;
  /** A server's header fields as the caller gets them. */
  readonly toCallerHeaders: (fields: HeaderFields) => OutgoingHttpHeaders;
  readonly toErrorResponse: (error: ServeError) => ErrorResponse;
}
