import t from "tap";
import { at } from "../../decisions/test/server_record.ts";
import { EventLog } from "../src/mod.ts";
import { FleetState } from "../src/state/fleet_state.ts";
import type { Member } from "../src/state/fleet_state.ts";
import type { RecordCodec } from "../src/state/record_codec.ts";
import { StoreContact } from "../src/state/store_contact.ts";
import { storedServer } from "./fixture.ts";
import { RecordingSink } from "./recording_sink.ts";

const PREFIX = "entries/";

function member(instance: string): Member {
  return { instance, host: "127.0.0.1", port: 1 };
}

/** A fleet state with a settable clock and no store. */
function createState(
  codec: RecordCodec,
  clock: () => number,
): { state: FleetState } {
  const log = new EventLog({ instance: "a", sink: new RecordingSink(), clock });
  const contact = new StoreContact({ log, clock });
  const onChange = () => {};
  const state = new FleetState({ codec, log, clock, contact, onChange });
  return { state };
}

t.test("servers that are written by one transaction are all known", (t) => {
  // Guards against taking the second change of a revision for an old one.
  const codec = {
    serverPrefix: "servers/",
    decodeServer: (_id: string, value: string) => JSON.parse(value),
  } as RecordCodec;
  const { state } = createState(codec, () => 0);
  const listener = state.serverListener();
  listener.onSnapshot([], at(4));
  const changes = [1, 2].map((port) => ({
    kind: "written" as const,
    item: {
      key: `servers/s${port}`,
      value: storedServer(`s${port}`, port),
      revision: 5,
    },
  }));
  listener.onChanges(changes, 1);
  t.same(state.directory.usable(0).map(({ id }) => id), ["s1", "s2"]);
  t.same(state.directory.position, at(5));
  t.end();
});

t.test("a dead entry is reported for 10 s only, unless it is connected", (t) => {
  // Guards against entries that report a dead one to each other for ever.
  let now = 0;
  const clock = () => now;
  const codec = { serverPrefix: "servers/" } as RecordCodec;
  const { state } = createState(codec, clock);
  const listener = state.memberListener(PREFIX, (value) => member(value));
  const items = ["a", "b"].map((name) => ({
    key: `${PREFIX}${name}`,
    value: name,
    revision: 1,
  }));
  listener.onSnapshot(items, at(1));
  const removed = { kind: "removed" as const, key: `${PREFIX}b`, revision: 2 };
  listener.onChanges([removed], 1);
  const reported = (connected: string[]) =>
    state.knownMembers(new Set(connected)).map(({ instance }) => instance)
      .sort();
  t.same(reported([]), ["a", "b"]);
  now = 11_000;
  t.same(reported([]), ["a"], "no longer counted, and not connected");
  t.same(reported(["b"]), ["a", "b"], "still running");
  t.ok(state.unregistered().has("b"), "a share is still reserved for it");
  now = 700_000;
  t.notOk(state.unregistered().has("b"));
  t.end();
});
