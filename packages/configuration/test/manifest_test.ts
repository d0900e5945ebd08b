import { MAXIMUM_VALUE_BYTES } from "@sycamorepulley/store";
import t from "tap";
import { decodeManifest, encodeManifest, publishedSource } from "../src/mod.ts";
import { EXAMPLE, hashOf, NOW } from "./example.ts";

const publication = {
  revision: 7,
  publishId: "p",
  publishedBy: "ana",
  publishedAt: NOW,
  changes: ["tiers/urgent"],
};

t.test("keeps the operator's file with its comments", (t) => {
  const text = encodeManifest({ history: [publication], source: EXAMPLE });
  const snapshot = decodeManifest(text).unwrapOrElse((detail) => {
    throw new Error(detail);
  });
  t.equal(snapshot.revision, 7);
  t.equal(publishedSource(snapshot), EXAMPLE);
  t.end();
});

t.test("a configuration of 7,800 organisations, the design target, fits one value", (t) => {
  const organisations = Array.from({ length: 7800 }, (_, index) => ({
    name: `organisation-${index}`,
    credentials: [hashOf(`token-${index}`)],
    services: ["assistant", "quotes", "bookings"],
    tiers: ["urgent", "standard", "batch"],
  }));
  const source = JSON.stringify({ organisations }, null, 2);
  const history = Array.from({ length: 40 }, () => publication);
  const text = encodeManifest({ history, source });
  t.comment(`${source.length} bytes of text, ${text.length} stored`);
  t.ok(source.length > MAXIMUM_VALUE_BYTES);
  t.ok(text.length < MAXIMUM_VALUE_BYTES);
  const snapshot = decodeManifest(text).unwrapOrElse((detail) => {
    throw new Error(detail);
  });
  t.equal(snapshot.objects.organisations.length, 7800);
  t.end();
});

t.test("refuses a value that is not a manifest", (t) => {
  const gzip = JSON.stringify({
    history: [publication],
    encoding: "gzip",
    source: "AAAA",
  });
  const foreign = encodeManifest({ history: [publication], source: '{"x":1}' });
  for (const text of ["", "{}", '{"history":[]}', gzip, foreign]) {
    t.ok(decodeManifest(text).isErr);
  }
  t.end();
});
