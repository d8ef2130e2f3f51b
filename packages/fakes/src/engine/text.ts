import type { Hash32 } from '@mimosamill/core';

const VOCABULARY =
  'clamp the rib and wait until glue is firm then check joint one two three four warm dry thin even press hold turn lift paper frame silk bamboo wire line knot trim sand coat seal lamp base ring edge fold crease mark cut fit test rest mend gold lacquer grain shard piece note dust'.split(
    ' ',
  );

/** Everything that determines a generated text. */
export interface GenerationInputs {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly seed: number;
}

/**
 * Text of the token at an index. It depends on the whole source, so a token of another request,
 * version or index shows up as a wrong text.
 */
export function tokenText(source: GenerationInputs, index: number, hash: Hash32): string {
  const key = `${source.model}/${source.version}/${source.adapter}/${source.seed}/${source.prompt}`;
  const word = VOCABULARY[hash(key, index + 1) % VOCABULARY.length] ?? '';
  return index === 0 ? word : ` ${word}`;
}

/** The whole answer to a request with the given length. */
export function expectedTokenTexts(
  source: GenerationInputs,
  length: number,
  hash: Hash32,
): string[] {
  return Array.from({ length }, (_, index) => tokenText(source, index, hash));
}

/** Number of tokens in a prompt: words here, where real engines have subwords. */
export function tokenizePrompt(prompt: string): string[] {
  return prompt.split(/\s+/u).filter((word) => word !== '');
}
