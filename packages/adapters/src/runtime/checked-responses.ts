import { parseResponseHead } from './response-head';
import type { Dispatcher } from 'undici';

/** Ends each exchange whose response has a malformed head like one whose connection broke. */
export const rejectMalformedHeads: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
      onRequestUpgrade: (controller, status, headers, socket) =>
        handler.onRequestUpgrade?.(controller, status, headers, socket),
      onResponseStart: (controller, status, headers, statusText) => {
        const outcome = parseResponseHead(options.method, status, headers);
        if (outcome.kind === 'malformed') controller.abort(new Error(outcome.message));
        else handler.onResponseStart?.(controller, status, headers, statusText);
      },
      onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
      onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
      onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
    });
