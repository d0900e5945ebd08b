/** The mix of a load: the kinds of its requests and their weights. @module */

const KINDS = ["chat", "stream", "booking", "lookup"] as const;

/** `chat` and `stream` call a model engine, the others a booking service. */
export type LoadKind = typeof KINDS[number];

/** One kind of request and its weight in the load. */
export type MixPart = {
  kind: LoadKind;
  tier: string | undefined;
  weight: number;
};

/**
 * Parses a mix such as "chat/urgent=1,stream/batch=3,booking=1"; throws if
 * invalid.
 */
export function parseMix(text: string): MixPart[] {
  return text.split(",").map(parsePart);
}

function parsePart(text: string): MixPart {
  const [kindAndTier = "", weightText = "1"] = text.trim().split("=");
  const [kind = "", tier] = kindAndTier.split("/");
  const weight = Number(weightText);
  if (!isKind(kind) || !(weight > 0)) {
    throw new Error(
      `invalid part "${text}" of a mix: use kind/tier=weight, where kind is ` +
        `one of ${KINDS.join(", ")} and weight is over 0`,
    );
  }
  return { kind, tier, weight };
}

function isKind(text: string): text is LoadKind {
  return (KINDS as readonly string[]).includes(text);
}

/** Picks a part by weight with a random number from 0 to 1. */
export function pickPart(mix: MixPart[], random: number): MixPart {
  const total = mix.reduce((sum, part) => sum + part.weight, 0);
  let remaining = random * total;
  for (const part of mix) {
    remaining -= part.weight;
    if (remaining < 0) {
      return part;
    }
  }
  return mix.at(-1)!;
}
