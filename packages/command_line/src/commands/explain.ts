/** `explain`: one request's story, from the logs of several processes. @module */
import { readFileSync } from "node:fs";
import * as v from "valibot";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { UsageError } from "../output/command_result.ts";
import type { CommandResult } from "../output/command_result.ts";

const STANDARD_INPUT = 0;
/** Fields of a line's context that stand elsewhere in the printed story. */
const KNOWN_FIELDS = new Set(["instance", "request", "logLevel"]);

const lineSchema = v.object({
  context: v.looseObject({ instance: v.string() }),
  message: v.string(),
  time: v.number(),
});

/** One logged event. */
type LogLine = v.InferOutput<typeof lineSchema>;

/** Tells what the logs in `files` (standard input if none) say of a request. */
export function explain(
  _context: Context,
  request: string,
  files: readonly string[],
): Promise<CommandResult> {
  const texts = files.length === 0
    ? [readFileSync(STANDARD_INPUT, "utf8")]
    : files.map(readLog);
  const lines = texts.flatMap((text) => text.split("\n").flatMap(parseLine))
    .sort((one, other) => one.time - other.time);
  return Promise.resolve(storyOf(request, lines));
}

function storyOf(request: string, lines: readonly LogLine[]): CommandResult {
  const story = lines.filter(({ context }) => context["request"] === request);
  const [first] = story;
  const last = story.at(-1);
  if (first === undefined || last === undefined) {
    const text = `no line tells of request ${request}`;
    const warnings = leftOut(lines, -Infinity, Infinity);
    return {
      exitCode: EXIT_CODE.refused,
      text: [text],
      json: { request, lines: [], leftOut: warnings },
      warnings,
    };
  }
  const warnings = leftOut(lines, first.time, last.time);
  return {
    exitCode: EXIT_CODE.ok,
    text: story.map((line) => describe(line, first.time)),
    json: { request, lines: story, leftOut: warnings },
    warnings,
  };
}

function describe(line: LogLine, start: number): string {
  const { instance } = line.context;
  const details = Object.entries(line.context)
    .filter(([name]) => !KNOWN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
  const after = `+${line.time - start} ms`.padStart(10);
  return `${after}  ${instance}  ${line.message}  ${details}`;
}

/** What processes say that they left out of their logs around the request. */
function leftOut(
  lines: readonly LogLine[],
  from: number,
  to: number,
): string[] {
  return lines
    .filter(({ message, time }) =>
      message === "omitted" && time >= from - SAID_LATER &&
      time <= to + SAID_LATER
    )
    .map(({ context }) =>
      `${context.instance} left out ${String(context["lines"])} lines of ` +
      `"${String(context["of"])}" near this time`
    );
}

/** Milliseconds within which a process says what it left out. */
const SAID_LATER = 3000;

function readLog(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new UsageError(`${file}: ${String(error)}`);
  }
}

/** Lines of other programs in the same file are passed over. */
function parseLine(text: string): LogLine[] {
  const start = text.indexOf("{");
  if (start < 0) return [];
  try {
    const parsed = v.safeParse(lineSchema, JSON.parse(text.slice(start)));
    return parsed.success ? [parsed.output] : [];
  } catch {
    return [];
  }
}
