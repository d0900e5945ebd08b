/** What the demonstration prints about itself. @module */
import { EXAMPLE_TOKEN } from "../fleet/example_objects.ts";
import type { Fleet } from "../fleet/fleet.ts";
import type { CallOutcome } from "../history/call_record.ts";

const TEXT_SHOWN = 56;

/** The processes and where they listen. */
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

function printProcess(name: string, place: string): void {
  console.log(`  ${name.padEnd(18)} ${place}`);
}

/** A heading of one step. */
export function printStep(text: string): void {
  console.log(`\n${text}`);
}

/** What came back, and which server ran it. */
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
  return trimmed.length > TEXT_SHOWN
    ? `${trimmed.slice(0, TEXT_SHOWN)} …`
    : trimmed;
}

/** A command to paste, for as long as the fleet runs. */
export function printHowToCall(fleet: Fleet): void {
  const url = fleet.entries[0]?.url;
  console.log(`
The fleet runs until Ctrl-C. Call it, for instance:
  curl ${url}/v1/chat/completions -H 'Authorization: Bearer ${EXAMPLE_TOKEN}' \\
    -H 'Content-Type: application/json' \\
    -d '{"model":"assistant","messages":[{"role":"user","content":"hello"}]}'`);
}
