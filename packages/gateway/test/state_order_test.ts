import t from "tap";
import { EventLog } from "../src/mod.ts";
import type { PeerMessage } from "../src/peers/messages.ts";
import type { Peers } from "../src/peers/peers.ts";
import { StateSharing } from "../src/peers/state_sharing.ts";
import type { FleetState } from "../src/state/fleet_state.ts";
import type { StoreContact } from "../src/state/store_contact.ts";
import { RecordingSink } from "./recording_sink.ts";

t.test("a peer learns the evacuations before the configuration that follows them", async (t) => {
  // Guards against skipping an evacuation that the store wrote before it.
  const sent: string[] = [];
  const partSent = new Promise<void>((resolve) => {
    const peers = {
      announceTo: (names: string[]) => sent.push(`heartbeat to ${names}`),
      send: (peer: string, message: PeerMessage) => {
        sent.push(`${message.type} to ${peer}`);
        resolve();
      },
    };
    const position = { era: 1, revision: 50 };
    const state = {
      publishedConfiguration: { version: 3, position, value: "{}" },
    };
    const clock = () => 0;
    const sharing = new StateSharing({
      state: state as unknown as FleetState,
      peers: peers as unknown as Peers,
      contact: {} as StoreContact,
      log: new EventLog({ instance: "a", sink: new RecordingSink(), clock }),
      clock,
      random: () => 0,
    });
    sharing.handleMessage("b", {
      type: "pull_state",
      state: "configuration",
      ...position,
      version: 3,
      offset: 0,
    });
  });
  await partSent;
  t.same(sent, ["heartbeat to b", "state_part to b"]);
});
