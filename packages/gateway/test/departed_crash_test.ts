import { setTimeout } from "node:timers/promises";
import t from "tap";
import { CRASHING_PART, startCrashingGroup } from "./crashing_servers.ts";
import { stopAll } from "./entry_group.ts";
import type { Fixture } from "./fixture.ts";

const SERVER_COUNT = 9;
/** Milliseconds between two requests that crash their server. */
const INTERVAL = 150;
/** Milliseconds within which all entries know of a series of crashes. */
const CONTACT_TIME = 3000;
/** Crashes after which the part has to be known, and retries accepted then. */
const PROOF = 5;
const MAXIMUM_RETRIES = 3;

/** Sends prompts that share a crashing part through the entries in turn. */
async function sendCrashing(
  entries: readonly Fixture[],
  duration: number,
): Promise<number[]> {
  const end = performance.now() + duration;
  const responses: Promise<number>[] = [];
  for (let index = 0; performance.now() < end; index++) {
    const response = entries[index % entries.length]!.call(`/calls/${index}`, {
      method: "POST",
      body: `body ${index}`,
      headers: {
        "x-request": `departed-${index}`,
        "x-model": "m",
        "x-prompt": `c0:100,${CRASHING_PART}:100,${index.toString(16)}:100`,
      },
    });
    responses.push(response.then(({ status }) => status).catch(() => 0));
    await setTimeout(INTERVAL);
  }
  return await Promise.all(responses);
}

t.test("the crash of a server whose record is removed at that moment counts", async (t) => {
  // Guards against forgetting what runs at a server when its record goes.
  const { entries, servers } = await startCrashingGroup(SERVER_COUNT);
  servers.removesRecords = true;
  const statuses = await sendCrashing(entries, 2 * CONTACT_TIME);
  const { crashes, crashedAt, partReceivedAt } = servers;
  t.ok(crashes >= 3, `${crashes} crashes`);
  const proofAt = crashedAt[PROOF - 1] ?? Infinity;
  const late = partReceivedAt.filter((at) => at > proofAt + CONTACT_TIME);
  t.ok(late.length <= MAXIMUM_RETRIES, `${late.length} requests too late`);
  t.ok(crashes <= PROOF + MAXIMUM_RETRIES, `${crashes} crashes`);
  t.equal(statuses.at(-1), 503);
  await servers.stop();
  await stopAll(entries);
});
