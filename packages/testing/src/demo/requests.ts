/** Sends the requests of the demonstration, one of each kind. @module */
import type { Caller } from "../caller/caller.ts";
import type { Fleet } from "../fleet/fleet.ts";
import type { CallOutcome } from "../history/call_record.ts";
import { printOutcome, printStep } from "./print.ts";

const BURST_SIZE = 30;

/** Sends the requests and prints their outcomes. */
export async function showRequests(fleet: Fleet): Promise<void> {
  const caller = fleet.caller(fleet.entries[0]);
  const otherCaller = fleet.caller(fleet.entries[1]);

  printStep("A chat completion that is not streamed:");
  await sendAndPrint(
    fleet,
    "chat",
    (marker) => caller.chat({ marker, service: "assistant", tier: "urgent" }),
  );

  printStep("A streamed chat completion, through the other entry:");
  await sendAndPrint(
    fleet,
    "stream",
    (marker) =>
      otherCaller.chat({ marker, service: "assistant", stream: true }),
  );

  await showBooking(fleet, caller, otherCaller);
  await showRefusals(fleet, caller);
  await showBurst(fleet, caller);
}

async function showBooking(
  fleet: Fleet,
  caller: Caller,
  otherCaller: Caller,
): Promise<void> {
  const booking = {
    service: "bookings",
    method: "POST",
    path: "/bookings",
    body: { slot: "nine" },
    idempotencyKey: "booking-of-nine",
  } as const;
  printStep("A booking, which is not idempotent, with an Idempotency-Key:");
  await sendAndPrint(
    fleet,
    "booking",
    (marker) => caller.callPlainService({ marker, ...booking }),
  );
  printStep(
    "The same booking again, through the other entry, as a caller retries it:",
  );
  await sendAndPrint(
    fleet,
    "booking",
    (marker) => otherCaller.callPlainService({ marker, ...booking }),
  );
}

async function showRefusals(fleet: Fleet, caller: Caller): Promise<void> {
  printStep("Refused: a booking without an Idempotency-Key:");
  await sendAndPrint(fleet, "unkeyed", (marker) =>
    caller.callPlainService({
      marker,
      service: "bookings",
      method: "POST",
      path: "/bookings",
    }));
  printStep("Refused: a chat completion with a deadline of 5 ms:");
  await sendAndPrint(
    fleet,
    "hurried",
    (marker) => caller.chat({ marker, service: "assistant", deadline: 5 }),
  );
  printStep("Refused: a model that is not configured:");
  await sendAndPrint(
    fleet,
    "unknown",
    (marker) => caller.chat({ marker, service: "no-such-model" }),
  );
}

async function showBurst(fleet: Fleet, caller: Caller): Promise<void> {
  printStep(
    `A burst of ${BURST_SIZE} chat completions; slower engines run fewer:`,
  );
  const markers = Array.from(
    { length: BURST_SIZE },
    (_, index) => `burst-${index}`,
  );
  const outcomes = await Promise.all(
    markers.map((marker) => caller.chat({ marker, service: "assistant" })),
  );
  const answered = outcomes.filter(({ type }) => type === "answered").length;
  console.log(`  -> ${answered} of ${BURST_SIZE} answered`);
  const runs = await fleet.runs();
  for (const { server, summary } of countBurstByServer(fleet, runs)) {
    console.log(`     ${server}: speed ${summary}`);
  }
}

function countBurstByServer(
  fleet: Fleet,
  runs: { server: string; marker?: string | undefined }[],
): { server: string; summary: string }[] {
  const speeds = new Map(
    fleet.backends.filter(({ options }) => options.kind === "model")
      .map(({ options, name }) => [name, options.options?.["speed"]]),
  );
  return [...speeds].map(([server, speed]) => {
    const count = runs.filter((run) =>
      run.server === server && run.marker?.startsWith("burst")
    ).length;
    return { server, summary: `${speed}, ran ${count}` };
  });
}

async function sendAndPrint(
  fleet: Fleet,
  marker: string,
  send: (marker: string) => Promise<CallOutcome>,
): Promise<void> {
  const outcome = await send(marker);
  const servers = (await fleet.runs())
    .filter((run) => run.marker === marker)
    .map(({ server }) => server);
  const ranOn = servers.length === 0
    ? "no server ran it"
    : `run ${servers.length === 1 ? "once" : `${servers.length} times`} by ` +
      servers.join(", ");
  printOutcome(outcome, ranOn);
}
