import { asId } from '../ids';
import type { Brand, Fingerprint } from '../ids';
import type { PromptPartId } from './types';

/** What a request may have in common with others: its whole content, or a part of its prompt. */
export type SuspectMember = Fingerprint | PromptPartId;

/** Several prompt parts: stands for the prompts that have all of them. */
export type PartSetId = Brand<string, 'PartSetId'>;

/** What may crash servers: the whole content of a request, a prompt part, or several parts together. */
export type SuspectId = SuspectMember | PartSetId;

/** Neither parts nor fingerprints, which are hexadecimal, contain it. */
const SEPARATOR = '+';

/** The same for the same parts in any order; a single part stands for itself. */
export function partSetId(parts: readonly PromptPartId[]): SuspectId {
  return asId<PartSetId>([...new Set(parts)].sort().join(SEPARATOR));
}

/** What a request must have for the suspect to be in it. */
export function membersOf(suspect: SuspectId): readonly SuspectMember[] {
  return suspect.split(SEPARATOR).map((member) => asId<SuspectMember>(member));
}

/** Whether a request that has these has the suspect. */
export function isHeldBy(suspect: SuspectId, held: ReadonlySet<SuspectMember>): boolean {
  return membersOf(suspect).every((member) => held.has(member));
}
