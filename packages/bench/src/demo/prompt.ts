/** A realistic prompt: several paragraphs and a list. */
export const PROMPT = `I am re-gluing a six-rib folding lantern of split bamboo and silk paper. After last
night's rain the third and fourth ribs lifted from the lower base ring. The old hide glue came away
in flakes, the ring itself is sound, and the silk is still attached to ribs one, two, five and six.

What I have on the bench:
- two spring clamps and a roll of waxed cotton cord
- fresh hide glue at sixty degrees, which sets in about four minutes
- a damp sponge, a bone folder and 320-grit paper

The frame must be closed again before the glue on the third rib sets, because the fourth rib pulls it
out of line. Tell me joint by joint what to clean, what to clamp first, how long to hold each joint,
and how I know that I may let go. If a joint slips, say what to do at once and what can wait.`;
