import { Logger } from 'tslog';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error' | 'silent';

export type LogFields = Readonly<Record<string, unknown>>;

/** Structured log of state changes. Frequent events are counted in metrics instead. */
export interface Log {
  readonly debug: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
}

const LEVEL_NUMBER: Readonly<Record<LogLevel, number>> = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
  silent: 7,
};

/** Creates a log that writes one JSON object per line to standard error. */
export function createLog(name: string, level: LogLevel, base: LogFields = {}): Log {
  const logger = new Logger<unknown>({
    name,
    type: 'hidden',
    minLevel: LEVEL_NUMBER[level],
    hideLogPositionForProduction: true,
  });
  const write = (levelName: string, message: string, fields: LogFields): void => {
    const line = { time: new Date().toISOString(), level: levelName, name, message };
    process.stderr.write(`${JSON.stringify({ ...line, ...base, ...fields })}\n`);
  };
  logger.attachTransport((entry) => {
    const record = entry as unknown as {
      0: string;
      1?: LogFields;
      _meta: { logLevelName: string };
    };
    write(record._meta.logLevelName.toLowerCase(), record[0], record[1] ?? {});
  });
  return {
    debug: (message, fields = {}) => {
      logger.debug(message, fields);
    },
    info: (message, fields = {}) => {
      logger.info(message, fields);
    },
    warn: (message, fields = {}) => {
      logger.warn(message, fields);
    },
    error: (message, fields = {}) => {
      logger.error(message, fields);
    },
  };
}
