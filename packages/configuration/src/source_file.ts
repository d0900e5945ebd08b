/** The text of a configuration file, with the lines of its values. @module */
import { findNodeAtLocation } from "jsonc-parser";
import type { Node } from "jsonc-parser";
import type { ObjectPath } from "./problem.ts";

/** A configuration file that was read; finds the line of each value. */
export class SourceFile {
  readonly file: string;
  readonly text: string;
  readonly #root: Node | undefined;
  readonly #lineStarts: number[];

  constructor(options: { file: string; text: string; root?: Node }) {
    this.file = options.file;
    this.text = options.text;
    this.#root = options.root;
    this.#lineStarts = findLineStarts(options.text);
  }

  /** Line number, from 1, of the character at `offset`. */
  lineAt(offset: number): number {
    let low = 0;
    let high = this.#lineStarts.length;
    while (low + 1 < high) {
      const middle = (low + high) >> 1;
      if ((this.#lineStarts[middle] ?? 0) <= offset) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return low + 1;
  }

  /**
   * Line number, from 1, of the value at `path` or of its nearest existing
   * parent.
   */
  lineOf(path: ObjectPath): number {
    for (let length = path.length; length > 0; length -= 1) {
      const node = this.#root &&
        findNodeAtLocation(this.#root, path.slice(0, length));
      if (node !== undefined) {
        return this.lineAt(node.offset);
      }
    }
    return 1;
  }
}

function findLineStarts(text: string): number[] {
  const starts = [0];
  for (let index = text.indexOf("\n"); index !== -1;) {
    starts.push(index + 1);
    index = text.indexOf("\n", index + 1);
  }
  return starts;
}
