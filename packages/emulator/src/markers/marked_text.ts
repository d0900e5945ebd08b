/**
 * Response texts in which every token names its request, its position and the
 * total number of tokens. With it, a caller can check that a response belongs
 * to its own request and is complete.
 * @module
 */
const MARKER = /#([\w.-]+)#/;
const UNMARKED = "unmarked";

/**
 * Returns the marker in a prompt, body or path, where it is written as
 * `#marker#`.
 */
export function findMarker(text: string): string | undefined {
  return MARKER.exec(text)?.[1];
}

/** Returns the token number `index`, counted from 1, out of `count` tokens. */
export function markedToken(
  marker: string | undefined,
  index: number,
  count: number,
): string {
  return `${marker ?? UNMARKED}:${index}/${count} `;
}

/** Returns the complete text of `count` tokens. */
export function markedText(marker: string | undefined, count: number): string {
  let text = "";
  for (let index = 1; index <= count; index++) {
    text += markedToken(marker, index, count);
  }
  return text;
}

/** Whether `text` is the complete response to the request with this marker. */
export function isCompleteText(text: string, marker: string): boolean {
  const first = text.split(" ", 1)[0] ?? "";
  const count = Number(first.split("/")[1]);
  if (!Number.isSafeInteger(count) || count < 1) {
    return false;
  }
  return text === markedText(marker, count);
}
