declare const brand: unique symbol;

/** A nominal type: the compiler does not accept the same primitive with another or no brand for it. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

export type RequestId = Brand<string, 'RequestId'>;
export type RouterId = Brand<string, 'RouterId'>;
export type EngineId = Brand<string, 'EngineId'>;
export type ServerId = Brand<string, 'ServerId'>;
export type ServiceName = Brand<string, 'ServiceName'>;
export type VersionName = Brand<string, 'VersionName'>;
export type CustomerId = Brand<string, 'CustomerId'>;
export type TeamId = Brand<string, 'TeamId'>;
export type MoveId = Brand<string, 'MoveId'>;
export type OperationId = Brand<string, 'OperationId'>;
export type FailureDomain = Brand<string, 'FailureDomain'>;
export type Region = Brand<string, 'Region'>;
export type HostId = Brand<string, 'HostId'>;
export type AttemptNo = Brand<number, 'AttemptNo'>;
export type Revision = Brand<number, 'Revision'>;
export type Fingerprint = Brand<string, 'Fingerprint'>;

/** Casts a string that has been checked to a branded id. */
export function asId<T extends Brand<string, string>>(value: string): T {
  return value as T;
}

/** Casts an attempt number; a request's first attempt has number 1. */
export function asAttemptNo(value: number): AttemptNo {
  return value as AttemptNo;
}

/** Casts a configuration revision; they start at 1, and 0 means that there is none yet. */
export function asRevision(value: number): Revision {
  return value as Revision;
}
