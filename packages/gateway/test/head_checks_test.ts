import t from "tap";
import { HeadChecks } from "../src/backend/head_checks.ts";

const OK = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const MANY = "a:\r\n".repeat(300);

/** Checks a response that arrives in pieces of `size` bytes. */
function check(response: string, size: number): string | undefined {
  const limits = new HeadChecks();
  const bytes = Buffer.from(response, "latin1");
  for (let offset = 0; offset < bytes.length; offset += size) {
    const problem = limits.check(bytes.subarray(offset, offset + size));
    if (problem !== undefined) return problem;
  }
  return undefined;
}

/** The verdict, which must not depend on how the bytes arrive. */
function verdict(response: string): string | undefined {
  const verdicts = new Set(
    [1, 2, 3, 7, 1000, 1_000_000].map((size) => check(response, size)),
  );
  t.equal(verdicts.size, 1);
  return [...verdicts][0];
}

t.test("usual responses are within the limits", (t) => {
  const fields = "A: b\r\n".repeat(200);
  const chunk = "5;name=value\r\na\r\n\r\nb\r\n";
  t.equal(verdict(`${OK}${fields}\r\n${MANY}`), undefined);
  t.equal(
    verdict(`${CHUNKED}${chunk.repeat(400)}0\r\n${fields}\r\n`),
    undefined,
  );
  t.equal(verdict(`${OK}Content-Length: 1200\r\n\r\n${MANY}`), undefined);
  const interim = `HTTP/1.1 103 Early Hints\r\n${fields}\r\n`;
  t.equal(verdict(interim.repeat(3) + CHUNKED + chunk.repeat(400)), undefined);
  t.end();
});

t.test("too many lines in a head are a problem", (t) => {
  t.equal(verdict(OK + MANY), "more than 256 lines in the head");
  const interim = `HTTP/1.1 103 Early Hints\r\n${MANY}`;
  t.equal(verdict(interim), "more than 256 lines in the head");
  t.end();
});

t.test("too many lines in the trailers are a problem", (t) => {
  const body = "2\r\nab\r\n".repeat(300);
  const expected = "more than 256 lines in the trailers";
  t.equal(verdict(`${CHUNKED}${body}0\r\n${MANY}`), expected);
  const encoded = `${OK}transfer-encoding: gzip , Chunked \r\n\r\n`;
  t.equal(verdict(`${encoded}0\r\n${MANY}`), expected);
  t.end();
});

t.test("a line without end is a problem", (t) => {
  const long = "a".repeat(70_000);
  const expected = "a line of more than 65536 bytes";
  t.equal(check(`HTTP/1.1 200 ${long}`, 999), expected);
  t.equal(check(`${OK}X: ${long}`, 999), expected);
  t.equal(check(`${CHUNKED}5;${long}`, 999), expected);
  t.equal(check(`${CHUNKED}0\r\nx: ${long}`, 999), expected);
  t.end();
});
