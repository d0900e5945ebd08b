import t from "tap";
import { EventLog } from "../src/mod.ts";
import { FleetState } from "../src/state/fleet_state.ts";
import type { Member } from "../src/state/fleet_state.ts";
import type { RecordCodec } from "../src/state/records.ts";
import { StoreContact } from "../src/state/store_contact.ts";
import { RecordingSink } from "./recording_sink.ts";

const PREFIX = "entries/";

function member(instance: string): Member {
  return { instance, host: "127.0.0.1", port: 1 };
}

t.test("a dead entry is not kept alive by being told of again and again", (t) => {
  let now = 0;
  const clock = () => now;
  const log = new EventLog({ instance: "a", sink: new RecordingSink(), clock });
  const contact = new StoreContact({ log, clock });
  const codec = { serverPrefix: "servers/" } as RecordCodec;
  const state = new FleetState({
    codec,
    log,
    clock,
    contact,
    changed: () => {},
  });
  const listener = state.memberListener(PREFIX, (value) => member(value));
  const items = ["a", "b"].map((name) => ({
    key: `${PREFIX}${name}`,
    value: name,
    revision: 1,
  }));
  listener.snapshot(items, 1);
  const removed = { kind: "removed" as const, key: `${PREFIX}b`, revision: 2 };
  listener.changes([removed], 2);
  const named = (heard: string[]) =>
    state.known(new Set(heard)).map(({ instance }) => instance).sort();
  t.same(named([]), ["a", "b"]);
  now = 11_000;
  t.same(named([]), ["a"], "counted no more, and not heard");
  t.same(named(["b"]), ["a", "b"], "it lives on");
  t.ok(state.unregistered().has("b"), "its part is left to it");
  now = 700_000;
  t.notOk(state.unregistered().has("b"));
  t.end();
});
