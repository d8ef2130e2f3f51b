import { createServeError } from '@mimosamill/core';
import * as z from 'zod';
import type { EngineServiceConfig, FleetConfig, ServeError } from '@mimosamill/core';

const MAX_PROMPT_CHARS = 1_000_000;
const MAX_MESSAGES = 1_024;

const commonFields = {
  model: z.string().min(1).max(256),
  adapter: z.string().max(256).default(''),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
  seed: z.number().int().default(0),
  priority: z.enum(['urgent', 'normal', 'batch']).default('normal'),
  deadline_ms: z.number().int().positive().optional(),
};

const completionSchema = z.object({
  ...commonFields,
  prompt: z.string().min(1).max(MAX_PROMPT_CHARS),
});

const chatSchema = z.object({
  ...commonFields,
  messages: z
    .array(z.object({ role: z.string().max(32), content: z.string().max(MAX_PROMPT_CHARS) }))
    .min(1)
    .max(MAX_MESSAGES),
});

export type CompletionKind = 'completion' | 'chat';

/** A checked body of the completions API. */
export interface CompletionBody {
  readonly kind: CompletionKind;
  readonly model: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly maxTokens: number | undefined;
  readonly isStream: boolean;
  readonly seed: number;
  readonly priority: 'urgent' | 'normal' | 'batch';
  readonly deadlineMs: number | undefined;
}

export type ParseOutcome =
  | { readonly kind: 'ok'; readonly body: CompletionBody }
  | { readonly kind: 'error'; readonly error: ServeError };

export function parseCompletion(kind: CompletionKind, json: unknown): ParseOutcome {
  const parsed = kind === 'chat' ? chatSchema.safeParse(json) : completionSchema.safeParse(json);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const message = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not valid'}`;
    return { kind: 'error', error: createServeError('bad_request', message) };
  }
  const { data } = parsed;
  const prompt = 'messages' in data ? joinMessages(data.messages) : data.prompt;
  return {
    kind: 'ok',
    body: {
      kind,
      model: data.model,
      adapter: data.adapter,
      prompt,
      maxTokens: data.max_tokens,
      isStream: data.stream,
      seed: data.seed,
      priority: data.priority,
      deadlineMs: data.deadline_ms,
    },
  };
}

function joinMessages(messages: readonly { role: string; content: string }[]): string {
  return messages.map(({ role, content }) => `${role}: ${content}`).join('\n');
}

/** The service that serves a model; a service may also be named directly. */
export function findService(config: FleetConfig, model: string): EngineServiceConfig | undefined {
  const engines = Object.values(config.services).filter((service) => service.kind === 'engine');
  return engines.find(({ name }) => name === model) ?? engines.find((s) => s.model === model);
}

/** Writes the events of one answer; the fixed parts are built once. */
export interface CompletionEncoder {
  readonly tokenEvent: (index: number, text: string) => string;
  readonly finishEvents: (reason: string) => string;
  readonly completeBody: (text: string, tokens: number, reason: string) => string;
}

export function createCompletionEncoder(
  kind: CompletionKind,
  id: string,
  model: string,
): CompletionEncoder {
  const isChat = kind === 'chat';
  const object = isChat ? 'chat.completion' : 'text_completion';
  const chunkObject = isChat ? 'chat.completion.chunk' : 'text_completion';
  const head = `{"id":${JSON.stringify(id)},"object":"${chunkObject}","model":${JSON.stringify(model)},"choices":[{"index":0,`;
  const open = isChat ? '"delta":{"content":' : '"text":';
  const close = isChat ? '},"finish_reason":null}]}' : ',"finish_reason":null}]}';
  return {
    tokenEvent: (index, text) =>
      `id: ${id}/${index}\ndata: ${head}${open}${JSON.stringify(text)}${close}\n\n`,
    finishEvents: (reason) => {
      const body = isChat ? '"delta":{}' : '"text":""';
      const data = `${head}${body},"finish_reason":${JSON.stringify(reason)}}]}`;
      return `data: ${data}\n\ndata: [DONE]\n\n`;
    },
    completeBody: (text, tokens, reason) => {
      const content = isChat ? { message: { role: 'assistant', content: text } } : { text };
      return JSON.stringify({
        id,
        object,
        model,
        choices: [{ index: 0, ...content, finish_reason: reason }],
        usage: { completion_tokens: tokens },
      });
    },
  };
}
