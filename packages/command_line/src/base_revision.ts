/** The revision that a file was made from, kept in its first comment. @module */

const HEADER = /^\/\/ sycamorepulley: base revision (\d+)\n/;

/** The text without a header of an earlier `get`. */
export function withoutBase(text: string): string {
  return text.replace(HEADER, "");
}

/** The text as `get` prints it. */
export function withBase(text: string, revision: number): string {
  return `// sycamorepulley: base revision ${revision}\n${withoutBase(text)}`;
}

/** The revision named by the header, if there is one. */
export function baseIn(text: string): number | undefined {
  const revision = HEADER.exec(text)?.[1];
  return revision === undefined ? undefined : Number(revision);
}
