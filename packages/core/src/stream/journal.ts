import type { RequestId } from '../ids';

/** Tokens of one answer in order. The next token accepted has index `length()`. */
export interface Journal {
  readonly requestId: RequestId;
  readonly length: () => number;
  /** Appends a token if it is the next one; false if it is old or leaves a gap. */
  readonly append: (index: number, text: string) => boolean;
  readonly texts: () => readonly string[];
  readonly textsFrom: (index: number) => readonly string[];
}

/** Creates a journal, with the tokens that are already known. */
export function createJournal(requestId: RequestId, known: readonly string[] = []): Journal {
  const tokens = [...known];
  return {
    requestId,
    length: () => tokens.length,
    append: (index, text) => {
      if (index !== tokens.length) return false;
      tokens.push(text);
      return true;
    },
    texts: () => tokens,
    textsFrom: (index) => tokens.slice(index),
  };
}
