import t from "tap";
import { StatePull } from "../src/mod.ts";
import type { StatePosition } from "../src/mod.ts";
import { at } from "./server_record.ts";

class RevisionPull extends StatePull {
  override isNewer(position: StatePosition, other: StatePosition): boolean {
    return position.revision > other.revision;
  }
}

const PEERS = ["a", "b", "c", "d", "e", "f"];
const PART = new Uint8Array(10);

/** A pull with six offers of revision 5 that sent its request at 250 ms. */
function startedPull(): { pull: StatePull; peer: string } {
  const pull = new RevisionPull();
  for (const peer of PEERS) pull.recordOffer(peer, at(5));
  pull.nextRequest(at(4), 0, 0);
  const request = pull.nextRequest(at(4), 250, 0.4);
  return { pull, peer: request?.peer ?? "" };
}

t.test("repeated offers of many peers cause one request to one peer", (t) => {
  const pull = new RevisionPull();
  const requests: string[] = [];
  for (let now = 0; now < 900; now += 10) {
    for (const peer of PEERS) {
      pull.recordOffer(peer, at(5));
      const request = pull.nextRequest(at(4), now, 0.9);
      if (request !== undefined) requests.push(`${request.peer} at ${now}`);
    }
  }
  t.same(requests, ["f at 250"]);
  t.end();
});

t.test("state that the store delivers in time is not requested", (t) => {
  const pull = new RevisionPull();
  pull.recordOffer("a", at(5));
  t.equal(pull.nextRequest(at(4), 0, 0), undefined);
  t.equal(pull.nextRequest(at(5), 240, 0), undefined);
  pull.recordOffer("a", at(6));
  t.equal(pull.nextRequest(at(5), 300, 0), undefined, "the delay starts again");
  t.match(pull.nextRequest(at(5), 550, 0), {
    peer: "a",
    position: at(6),
    offset: 0,
  });
  t.end();
});

t.test("parts are requested one by one until the state is complete", (t) => {
  const { pull, peer } = startedPull();
  const part = { position: at(5), total: 25, bytes: PART };
  t.match(pull.receivePart(peer, { ...part, offset: 0 }, 300), {
    kind: "ask",
    request: { peer, position: at(5), offset: 10 },
  });
  t.equal(pull.receivePart(peer, { ...part, offset: 0 }, 310).kind, "ignored");
  const empty = { ...part, offset: 10, bytes: PART.subarray(0, 0) };
  t.equal(pull.receivePart(peer, empty, 310).kind, "ignored");
  t.equal(pull.receivePart("z", { ...part, offset: 10 }, 310).kind, "ignored");
  t.equal(
    pull.nextRequest(at(4), 900, 0),
    undefined,
    "the transfer makes progress",
  );
  t.equal(pull.receivePart(peer, { ...part, offset: 10 }, 950).kind, "ask");
  const bytes = PART.subarray(0, 5);
  const last = pull.receivePart(peer, { ...part, offset: 20, bytes }, 1600);
  t.match(last, { kind: "whole", position: at(5) });
  t.equal(last.kind === "whole" && last.parts.length, 3);
  t.equal(
    pull.nextRequest(at(4), 1700, 0),
    undefined,
    "the state is being applied",
  );
  t.equal(pull.nextRequest(at(5), 1710, 0), undefined);
  t.end();
});

t.test("a peer that is lost or does not respond is replaced by another", (t) => {
  const { pull, peer } = startedPull();
  t.equal(pull.nextRequest(at(4), 900, 0.4), undefined);
  const second = pull.nextRequest(at(4), 950, 0.4)?.peer;
  t.not(second, peer);
  pull.removePeer(second!);
  const third = pull.nextRequest(at(4), 960, 0.4)?.peer;
  t.notOk([peer, second].includes(third));
  t.ok(third);
  t.end();
});

t.test("a transfer restarts when the peer sends a newer revision", (t) => {
  const { pull, peer } = startedPull();
  const part = { position: at(5), offset: 0, total: 25, bytes: PART };
  pull.receivePart(peer, part, 300);
  const newer = { position: at(7), total: 12, bytes: PART };
  t.match(pull.receivePart(peer, { ...newer, offset: 10 }, 310), {
    kind: "ask",
    request: { position: at(7), offset: 0 },
  });
  t.match(pull.receivePart(peer, { ...newer, offset: 0 }, 320), {
    kind: "ask",
    request: { position: at(7), offset: 10 },
  });
  t.end();
});

t.test("corrupted state is requested from another peer, unusable state is not", (t) => {
  const { pull, peer } = startedPull();
  const part = { position: at(5), offset: 0, total: 10, bytes: PART };
  t.equal(pull.receivePart(peer, part, 300).kind, "whole");
  pull.markCorrupted(peer);
  const other = pull.nextRequest(at(4), 310, 0.4)?.peer ?? "";
  t.not(other, peer);
  t.equal(pull.receivePart(other, part, 320).kind, "whole");
  pull.markUnusable(at(5));
  t.equal(pull.nextRequest(at(4), 5000, 0.4), undefined);
  pull.recordOffer("a", at(6));
  pull.nextRequest(at(4), 5010, 0);
  t.match(pull.nextRequest(at(4), 5300, 0), { peer: "a", position: at(6) });
  t.end();
});

t.test("a silent peer with the newest revision does not keep others from being asked", (t) => {
  const pull = new RevisionPull();
  pull.recordOffer("silent", at(110));
  pull.recordOffer("other", at(109));
  t.equal(pull.nextRequest(at(100), 0, 0), undefined);
  t.match(pull.nextRequest(at(100), 250, 0), {
    peer: "silent",
    position: at(110),
  });
  t.match(pull.nextRequest(at(100), 950, 0), {
    peer: "other",
    position: at(109),
  });
  t.end();
});
