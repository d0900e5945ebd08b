/**
 * Answers whose every token names the request that it belongs to, so that a
 * caller can prove that it got its own answer, and got it whole.
 * @module
 */
const MARKER = /#([\w.-]+)#/;
const UNMARKED = "unmarked";

/** The marker in a prompt, a body or a path, written `#marker#`. */
export function findMarker(text: string): string | undefined {
  return MARKER.exec(text)?.[1];
}

/** Token `index` (from 1) of `count`. */
export function markedToken(
  marker: string | undefined,
  index: number,
  count: number,
): string {
  return `${marker ?? UNMARKED}:${index}/${count} `;
}

/** The whole answer of `count` tokens. */
export function markedText(marker: string | undefined, count: number): string {
  let text = "";
  for (let index = 1; index <= count; index++) {
    text += markedToken(marker, index, count);
  }
  return text;
}

/** Whether `text` is the whole answer to the request with `marker`. */
export function isCompleteText(text: string, marker: string): boolean {
  const first = text.split(" ", 1)[0] ?? "";
  const count = Number(first.split("/")[1]);
  if (!Number.isSafeInteger(count) || count < 1) {
    return false;
  }
  return text === markedText(marker, count);
}
