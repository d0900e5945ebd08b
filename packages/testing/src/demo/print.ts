/** Prints the progress of the demonstration. @module */
import { EXAMPLE_TOKEN } from "../fleet/example_objects.ts";
import type { Fleet } from "../fleet/fleet.ts";
import type { CallOutcome } from "../history/call_record.ts";

/** Characters of a response that are printed. */
const MAX_TEXT_LENGTH = 56;

/** Prints the processes and their URLs. */
export function printProcesses(fleet: Fleet): void {
  printProcess("key-value service", fleet.keyValueStore.url);
  printProcess("instance list", fleet.instanceList.url);
  for (const { server, sidecar } of fleet.backends) {
    printProcess(sidecar.settings.instance, `beside ${server.url}`);
  }
  for (const entry of fleet.entries) {
    printProcess(entry.settings.instance, entry.url);
  }
}

function printProcess(name: string, location: string): void {
  console.log(`  ${name.padEnd(18)} ${location}`);
}

/** Prints the heading of a step. */
export function printStep(text: string): void {
  console.log(`\n${text}`);
}

/** Prints the outcome of a call and which server ran it. */
export function printOutcome(outcome: CallOutcome, ranOn: string): void {
  console.log(`  -> ${describe(outcome)}; ${ranOn}`);
}

function describe(outcome: CallOutcome): string {
  switch (outcome.type) {
    case "answered":
      return `${outcome.status} ${shorten(outcome.text)}`;
    case "refused": {
      const { status, reason, ran, retryAfter } = outcome;
      const advice = retryAfter === undefined
        ? ""
        : `, retry after ${retryAfter} s`;
      return `${status} refused: ${reason}, ran: ${ran}${advice}`;
    }
    case "broken":
      return `broken: ${outcome.detail}`;
  }
}

function shorten(text: string): string {
  const trimmed = text.trim();
  return trimmed.length > MAX_TEXT_LENGTH
    ? `${trimmed.slice(0, MAX_TEXT_LENGTH)} …`
    : trimmed;
}

/** Prints a command that calls the running fleet. */
export function printHowToCall(fleet: Fleet): void {
  const url = fleet.entries[0]?.url;
  console.log(`
The fleet runs until Ctrl-C. Call it, for instance:
  curl ${url}/v1/chat/completions -H 'Authorization: Bearer ${EXAMPLE_TOKEN}' \\
    -H 'Content-Type: application/json' \\
    -d '{"model":"assistant","messages":[{"role":"user","content":"hello"}]}'`);
}
