/**
 * The revision that a file is based on, kept in a comment in its first line.
 * @module
 */

const HEADER = /^\/\/ sycamorepulley: base revision (\d+)\n/;

/** Removes the comment that an earlier `get` added. */
export function removeBaseRevision(text: string): string {
  return text.replace(HEADER, "");
}

/** Adds the comment with the revision, as `get` prints it. */
export function addBaseRevision(text: string, revision: number): string {
  return `// sycamorepulley: base revision ${revision}\n${
    removeBaseRevision(text)
  }`;
}

/** The revision in the comment, if there is one. */
export function readBaseRevision(text: string): number | undefined {
  const revision = HEADER.exec(text)?.[1];
  return revision === undefined ? undefined : Number(revision);
}
