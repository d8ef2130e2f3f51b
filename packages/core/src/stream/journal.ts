import type { RequestId } from '../ids';

/** The tokens of one generation, in order and without gaps. The next one has index `length()`. */
export interface Journal {
  readonly requestId: RequestId;
  readonly length: () => number;
  /** Appends the token if its index is the next one; false otherwise, and nothing is appended. */
  readonly append: (index: number, text: string) => boolean;
  readonly texts: () => readonly string[];
  readonly textsFrom: (index: number) => readonly string[];
}

export function createJournal(
  requestId: RequestId,
  initialTokens: readonly string[] = [],
): Journal {
  const tokens = [...initialTokens];
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
