import t from "tap";
import { judgeConnectionEnd } from "../src/mod.ts";

t.test("an end is regular if no fact shows a reset", (t) => {
  const regular = { peer: "known", write: "accepted" } as const;
  t.equal(judgeConnectionEnd(regular, "shown"), "regular");
  t.equal(
    judgeConnectionEnd({ ...regular, write: "pending" }, "shown"),
    "regular",
  );
  t.end();
});

// Guards against a reset that counts as an end because one fact is wrong.
t.test("one fact is enough for a reset", (t) => {
  const ends = [
    { peer: "unknown", write: "accepted" },
    { peer: "unknown", write: "pending" },
    { peer: "known", write: "ECONNRESET" },
    { peer: "known", write: "EPIPE" },
    { error: "ECONNRESET" },
  ] as const;
  for (const end of ends) t.equal(judgeConnectionEnd(end, "shown"), "reset");
  t.end();
});

// Guards against an end that nothing was found of and that counts as regular.
t.test("an end without evidence is unproven", (t) => {
  t.equal(judgeConnectionEnd(undefined, "shown"), "unproven");
  t.end();
});

// Guards against relying on a kernel that does not show resets.
t.test("an end proves nothing where resets are not known to show", (t) => {
  const regular = { peer: "known", write: "accepted" } as const;
  for (const detection of ["not_shown", "unknown"] as const) {
    t.equal(judgeConnectionEnd(regular, detection), "unproven");
    const reset = { error: "ECONNRESET" };
    t.equal(judgeConnectionEnd(reset, detection), "reset");
  }
  t.end();
});
