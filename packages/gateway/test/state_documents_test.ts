import { createHash } from "node:crypto";
import t from "tap";
import { at } from "../../decisions/test/server_record.ts";
import {
  decompressDocument,
  documentPart,
  StateDocuments,
} from "../src/peers/state_documents.ts";

/** Text that compresses little. */
const TEXT = Array.from(
  { length: 6000 },
  (_, index) => createHash("sha256").update(String(index)).digest("hex"),
).join("");

t.test("a document that is sent in parts is restored unchanged", async (t) => {
  const newest = { position: at(3), text: () => TEXT };
  const document = await new StateDocuments().get(at(3), newest);
  const parts: Uint8Array[] = [];
  for (let offset = 0; offset < document.bytes.length;) {
    const part = documentPart(document, offset);
    parts.push(part);
    offset += part.length;
  }
  t.ok(parts.length > 3);
  const restored = await decompressDocument(parts);
  t.equal(restored.unwrapOr(""), TEXT);
  for (const index of parts.keys()) {
    const others = parts.filter((_, other) => other !== index);
    t.ok((await decompressDocument(others)).isErr, `part ${index} is missing`);
  }
});

t.test("a revision that a peer still reads is cached, and compressed once", async (t) => {
  const documents = new StateDocuments();
  let created = 0;
  const text = () => `text ${++created}`;
  const first = await documents.get(at(3), { position: at(3), text });
  t.equal(await documents.get(at(3), { position: at(4), text }), first);
  t.same(
    (await documents.get(at(9), { position: at(4), text })).position,
    at(4),
  );
  t.same(
    (await documents.get(at(4), { position: at(4), text })).position,
    at(4),
  );
  t.equal(created, 2);
});
