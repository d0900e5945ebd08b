/** Which requests a load is made of. @module */

const KINDS = ["chat", "stream", "booking", "lookup"] as const;

/** `chat` and `stream` call a model engine, the others a booking service. */
export type LoadKind = typeof KINDS[number];

/** One kind of request and its share of the load. */
export type MixPart = {
  kind: LoadKind;
  tier: string | undefined;
  weight: number;
};

/** Reads "chat/urgent=1,stream/batch=3,booking=1"; throws on anything else. */
export function parseMix(text: string): MixPart[] {
  return text.split(",").map(parsePart);
}

function parsePart(text: string): MixPart {
  const [what = "", weightText = "1"] = text.trim().split("=");
  const [kind = "", tier] = what.split("/");
  const weight = Number(weightText);
  if (!isKind(kind) || !(weight > 0)) {
    throw new Error(
      `"${text}" is no part of a mix: write kind/tier=weight, where kind is ` +
        `one of ${KINDS.join(", ")} and weight is over 0`,
    );
  }
  return { kind, tier, weight };
}

function isKind(text: string): text is LoadKind {
  return (KINDS as readonly string[]).includes(text);
}

/** The part that a number from 0 to 1 falls on. */
export function pickPart(mix: MixPart[], random: number): MixPart {
  const total = mix.reduce((sum, part) => sum + part.weight, 0);
  let left = random * total;
  for (const part of mix) {
    left -= part.weight;
    if (left < 0) {
      return part;
    }
  }
  return mix.at(-1)!;
}
