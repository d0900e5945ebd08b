/**
 * `explain`: shows the log lines of one request from several processes.
 * @module
 */
import { readFileSync } from "node:fs";
import * as v from "valibot";
import type { Context } from "../context.ts";
import { EXIT_CODE } from "../exit_code.ts";
import { UsageError } from "../output/command_result.ts";
import type { CommandResult } from "../output/command_result.ts";

/** File descriptor of standard input. */
const STANDARD_INPUT = 0;
/** Fields of a log line's context that are not printed among the details. */
const HIDDEN_FIELDS = new Set(["instance", "request", "logLevel"]);

const lineSchema = v.object({
  context: v.looseObject({ instance: v.string() }),
  message: v.string(),
  time: v.number(),
});

/** A log line. */
type LogLine = v.InferOutput<typeof lineSchema>;

/**
 * Shows the lines of a request in `files`, or in standard input if none is
 * given.
 */
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
  return Promise.resolve(requestResult(request, lines));
}

function requestResult(
  request: string,
  lines: readonly LogLine[],
): CommandResult {
  const requestLines = lines.filter(({ context }) =>
    context["request"] === request
  );
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) {
    const text = `no log line mentions request ${request}`;
    const warnings = omittedLines(lines, -Infinity, Infinity);
    return {
      exitCode: EXIT_CODE.refused,
      text: [text],
      json: { request, lines: [], leftOut: warnings },
      warnings,
    };
  }
  const warnings = omittedLines(lines, first.time, last.time);
  return {
    exitCode: EXIT_CODE.ok,
    text: requestLines.map((line) => formatLine(line, first.time)),
    json: { request, lines: requestLines, leftOut: warnings },
    warnings,
  };
}

function formatLine(line: LogLine, start: number): string {
  const { instance } = line.context;
  const details = Object.entries(line.context)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(" ");
  const after = `+${line.time - start} ms`.padStart(10);
  return `${after}  ${instance}  ${line.message}  ${details}`;
}

/** Describes lines that processes omitted from their logs near the request. */
function omittedLines(
  lines: readonly LogLine[],
  from: number,
  to: number,
): string[] {
  return lines
    .filter(({ message, time }) =>
      message === "omitted" && time >= from - OMISSION_REPORT_DELAY &&
      time <= to + OMISSION_REPORT_DELAY
    )
    .map(({ context }) =>
      `${context.instance} left out ${String(context["lines"])} lines of ` +
      `"${String(context["of"])}" near this time`
    );
}

/** Milliseconds within which a process reports the lines that it omitted. */
const OMISSION_REPORT_DELAY = 3000;

function readLog(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new UsageError(`${file}: ${String(error)}`);
  }
}

/** Parses a log line; returns nothing for lines of other programs. */
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
