/** The requests of the demonstration, one of each kind. @module */
import type { Caller } from "../caller/caller.ts";
import type { Fleet } from "../fleet/fleet.ts";
import type { CallOutcome } from "../history/call_record.ts";
import { printOutcome, printStep } from "./print.ts";

const BURST = 30;

/** Sends them and prints what came back. */
export async function showRequests(fleet: Fleet): Promise<void> {
  const caller = fleet.caller(fleet.entries[0]);
  const other = fleet.caller(fleet.entries[1]);

  printStep("A chat completion, answered whole:");
  await show(
    fleet,
    "chat",
    (marker) => caller.chat({ marker, service: "assistant", tier: "urgent" }),
  );

  printStep("The same, streamed, by the other entry:");
  await show(
    fleet,
    "stream",
    (marker) => other.chat({ marker, service: "assistant", stream: true }),
  );

  await showBooking(fleet, caller, other);
  await showRefusals(fleet, caller);
  await showBurst(fleet, caller);
}

async function showBooking(
  fleet: Fleet,
  caller: Caller,
  other: Caller,
): Promise<void> {
  const booking = {
    service: "bookings",
    method: "POST",
    path: "/bookings",
    body: { slot: "nine" },
    idempotencyKey: "booking-of-nine",
  } as const;
  printStep("A booking, which must not run twice, with an Idempotency-Key:");
  await show(
    fleet,
    "booking",
    (marker) => caller.callPlainService({ marker, ...booking }),
  );
  printStep("Sent again through the other entry, as an unsure caller would:");
  await show(
    fleet,
    "booking",
    (marker) => other.callPlainService({ marker, ...booking }),
  );
}

async function showRefusals(fleet: Fleet, caller: Caller): Promise<void> {
  printStep("Refused: a booking without an Idempotency-Key:");
  await show(fleet, "unkeyed", (marker) =>
    caller.callPlainService({
      marker,
      service: "bookings",
      method: "POST",
      path: "/bookings",
    }));
  printStep("Refused: an answer wanted within 5 ms:");
  await show(
    fleet,
    "hurried",
    (marker) => caller.chat({ marker, service: "assistant", deadline: 5 }),
  );
  printStep("Refused: a service that nobody has configured:");
  await show(
    fleet,
    "unknown",
    (marker) => caller.chat({ marker, service: "no-such-model" }),
  );
}

async function showBurst(fleet: Fleet, caller: Caller): Promise<void> {
  printStep(`A burst of ${BURST} chats; slow engines take fewer:`);
  const markers = Array.from({ length: BURST }, (_, index) => `burst-${index}`);
  const outcomes = await Promise.all(
    markers.map((marker) => caller.chat({ marker, service: "assistant" })),
  );
  const answered = outcomes.filter(({ type }) => type === "answered").length;
  console.log(`  -> ${answered} of ${BURST} answered`);
  const runs = await fleet.runs();
  for (const { server, options } of assistants(fleet, runs)) {
    console.log(`     ${server}: speed ${options}`);
  }
}

function assistants(
  fleet: Fleet,
  runs: { server: string; marker?: string | undefined }[],
): { server: string; options: string }[] {
  const speeds = new Map(
    fleet.backends.filter(({ backend }) => backend.kind === "model")
      .map(({ backend, name }) => [name, backend.options?.["speed"]]),
  );
  return [...speeds].map(([server, speed]) => {
    const count = runs.filter((run) =>
      run.server === server && run.marker?.startsWith("burst")
    ).length;
    return { server, options: `${speed}, ran ${count}` };
  });
}

async function show(
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
