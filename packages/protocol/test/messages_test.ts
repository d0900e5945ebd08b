import t from "tap";
import * as v from "valibot";
import { messageSchema } from "../src/mod.ts";

t.test("accepts a grant message", (t) => {
  const grant = { type: "grant", reservation: 1, grant: 2, lapse: 500 };
  t.ok(v.safeParse(messageSchema, grant).success);
  t.end();
});

t.test("rejects a message of an unknown type", (t) => {
  t.notOk(v.safeParse(messageSchema, { type: "gossip" }).success);
  t.end();
});
