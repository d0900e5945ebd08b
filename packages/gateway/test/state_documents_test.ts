import { createHash } from "node:crypto";
import t from "tap";
import {
  partOf,
  StateDocuments,
  textOf,
} from "../src/peers/state_documents.ts";

/** Text that compresses little. */
const TEXT = Array.from(
  { length: 6000 },
  (_, index) => createHash("sha256").update(String(index)).digest("hex"),
).join("");

t.test("a document goes in parts and comes out as it was", async (t) => {
  const newest = { revision: 3, text: () => TEXT };
  const document = await new StateDocuments().get(3, newest);
  const parts: Uint8Array[] = [];
  for (let offset = 0; offset < document.bytes.length;) {
    const part = partOf(document, offset);
    parts.push(part);
    offset += part.length;
  }
  t.ok(parts.length > 3);
  const out = await textOf(parts);
  t.equal(out.unwrapOr(""), TEXT);
  for (const index of parts.keys()) {
    const others = parts.filter((_, other) => other !== index);
    t.ok((await textOf(others)).isErr, `part ${index} is missing`);
  }
});

t.test("a revision that a peer still reads is kept, and compressed once", async (t) => {
  const documents = new StateDocuments();
  let made = 0;
  const text = () => `text ${++made}`;
  const first = await documents.get(3, { revision: 3, text });
  t.equal(await documents.get(3, { revision: 4, text }), first);
  t.equal((await documents.get(9, { revision: 4, text })).revision, 4);
  t.equal((await documents.get(4, { revision: 4, text })).revision, 4);
  t.equal(made, 2);
});
