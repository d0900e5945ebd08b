/**
 * Checks of what a backend server sends beside the body of a response: its
 * head, its trailers, and the lines that state the sizes of chunks.
 *
 * undici limits the bytes of a head and of trailers. It needs several objects
 * for each of their fields, however small, so that their number has to be
 * limited as well. A status line has no limit there, and may state any version
 * of HTTP.
 * @module
 */

/** Maximum number of lines of one head, or of the trailers of a response. */
const MAX_FIELDS = 256;
/** Maximum size of one line, in bytes. */
const MAX_LINE_BYTES = 64 * 1024;
/** Characters of a line that may state how the body ends. */
const LINE_START_LENGTH = 256;

const LINE_FEED = 0x0a;
const STATUS_LINE = /^HTTP\/1\.[01] /;
const CHUNKED = /^transfer-encoding:.*\bchunked\s*$/i;

/**
 * What the next bytes belong to. `size`: the line with the size of a chunk;
 * `data`: the bytes of the chunk and its line end; `rest`: a body that isn't
 * chunked, or bytes after the response, neither of which is checked.
 */
type Part = "head" | "size" | "data" | "trailers" | "rest";

/** Checks the bytes of one response, in the order of their arrival. */
export class HeadChecks {
  #part: Part = "head";
  /** Lines of the current head or trailers. */
  #lines = 0;
  #lineLength = 0;
  #lineStart = "";
  #status = 0;
  #isChunked = false;
  /** Bytes of the current chunk that have not arrived. */
  #missing = 0;
  #problem: string | undefined;

  /** Returns what is wrong with the response, if anything is. */
  check(bytes: Uint8Array): string | undefined {
    const buffer = Buffer.from(
      bytes.buffer,
      bytes.byteOffset,
      bytes.byteLength,
    );
    let offset = 0;
    while (offset < buffer.length && this.#part !== "rest") {
      if (this.#part === "data") {
        offset = this.#skipData(buffer, offset);
        continue;
      }
      const lineEnd = buffer.indexOf(LINE_FEED, offset);
      const end = lineEnd < 0 ? buffer.length : lineEnd;
      this.#appendToLine(buffer, offset, end);
      if (lineEnd >= 0) this.#endLine();
      if (this.#problem !== undefined) return this.#problem;
      offset = end + 1;
    }
    return undefined;
  }

  #skipData(buffer: Buffer, offset: number): number {
    const skipped = Math.min(this.#missing, buffer.length - offset);
    this.#missing -= skipped;
    if (this.#missing === 0) this.#part = "size";
    return offset + skipped;
  }

  #appendToLine(buffer: Buffer, start: number, end: number): void {
    this.#lineLength += end - start;
    if (this.#lineLength > MAX_LINE_BYTES) {
      this.#problem = `a line of more than ${MAX_LINE_BYTES} bytes`;
    }
    const free = LINE_START_LENGTH - this.#lineStart.length;
    if (free <= 0) return;
    const last = Math.min(end, start + free);
    this.#lineStart += buffer.toString("latin1", start, last);
  }

  #endLine(): void {
    const line = this.#lineStart.trimEnd();
    this.#lineStart = "";
    this.#lineLength = 0;
    if (this.#part === "size") this.#beginChunk(line);
    else if (line !== "") this.#readField(line);
    else if (this.#part === "trailers") this.#part = "rest";
    else this.#endHead();
  }

  #readField(line: string): void {
    if (this.#lines === 0 && this.#part === "head") this.#readStatus(line);
    this.#lines++;
    if (this.#lines > MAX_FIELDS) {
      this.#problem = `more than ${MAX_FIELDS} lines in the ${this.#part}`;
    }
    if (this.#part === "head" && CHUNKED.test(line)) this.#isChunked = true;
  }

  #readStatus(line: string): void {
    if (!STATUS_LINE.test(line)) this.#problem = "no status line of HTTP/1";
    this.#status = Number(line.split(" ")[1]);
  }

  #endHead(): void {
    this.#lines = 0;
    const isInterim = this.#status >= 100 && this.#status < 200;
    if (isInterim) this.#isChunked = false;
    else this.#part = this.#isChunked ? "size" : "rest";
  }

  #beginChunk(line: string): void {
    const size = Number.parseInt(line, 16);
    if (size === 0) this.#part = "trailers";
    else if (size > 0) {
      this.#part = "data";
      this.#missing = size + "\r\n".length;
    } else this.#part = "rest";
  }
}
