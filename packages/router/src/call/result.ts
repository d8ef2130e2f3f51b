import type { ServiceCallOutcome } from '@mimosamill/adapters';
import type { ServiceName } from '@mimosamill/core';
import type { CallsPorts } from './ports';

const MIN_SERVER_ERROR_STATUS = 500;

/** Reports a call's answer to the server picker; a refusal says nothing about the server's health. */
export function reportCallResult(
  ports: Pick<CallsPorts, 'servers'>,
  request: { readonly service: ServiceName; readonly operation: string },
  address: string,
  answer: ServiceCallOutcome,
  tookMs: number,
): void {
  if (answer.kind === 'not_sent') return;
  const isSuccess = answer.kind === 'ok' && answer.status < MIN_SERVER_ERROR_STATUS;
  ports.servers.onResult(request.service, address, request.operation, { isSuccess, tookMs });
}
