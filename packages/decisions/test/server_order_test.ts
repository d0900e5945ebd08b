import t from "tap";
import { ServerDirectory } from "../src/mod.ts";
import { serverRecord as server } from "./server_record.ts";

function usableIds(directory: ServerDirectory, now: number): string[] {
  return directory.usable(now).map(({ id }) => id);
}

/** A directory that has had contact with the store, with servers x and y. */
function directoryOfTwo(): ServerDirectory {
  const directory = new ServerDirectory();
  directory.recordStoreResponse(0);
  directory.replace([server("x"), server("y", { port: 81 })], 5, 0);
  return directory;
}

const Y = server("y", { port: 81 });
const DRAINING_X = server("x", { draining: true });

t.test("an older complete read does not bring back a draining server", (t) => {
  const directory = directoryOfTwo();
  directory.replace([DRAINING_X, Y], 10, 100);
  directory.replace([server("x"), Y], 8, 200);
  t.same(usableIds(directory, 200), ["y"]);
  t.equal(directory.revision, 10);
  t.end();
});

t.test("an older complete read does not bring back a removed server", (t) => {
  const directory = directoryOfTwo();
  directory.replace([Y], 10, 100);
  directory.replace([server("x"), Y], 8, 200);
  t.same(usableIds(directory, 200), ["y"]);
  t.end();
});

t.test("an older watch batch does not bring back a draining server", (t) => {
  const directory = directoryOfTwo();
  directory.replace([DRAINING_X, Y], 10, 100);
  directory.advance(8);
  directory.put("x", server("x"), 200);
  t.same(usableIds(directory, 200), ["y"]);
  t.end();
});

t.test("an older watch batch does not bring back a removed server", (t) => {
  const directory = directoryOfTwo();
  directory.replace([Y], 10, 100);
  directory.advance(8);
  directory.put("x", server("x"), 200);
  t.same(usableIds(directory, 200), ["y"]);
  t.end();
});

t.test("a record retained after an outage does not outlive that time at a peer", (t) => {
  // Guards against requests to a removed server that a peer still retains.
  const cutOff = directoryOfTwo();
  cutOff.recordStoreFailure();
  cutOff.recordStoreResponse(6000);
  cutOff.advance(9);
  cutOff.remove("x", 6100);
  const peer = directoryOfTwo();
  peer.recordStoreResponse(6000);
  peer.advance(9);
  peer.remove("x", 6100);
  cutOff.advance(10);
  cutOff.put("z", server("z", { port: 82 }), 6500);
  peer.replace(cutOff.all(), cutOff.revision, 6500);
  t.same(usableIds(cutOff, 8001), ["y", "z"], "the entry that was cut off");
  t.same(usableIds(peer, 8001), ["y", "z"], "its peer");
  t.end();
});
