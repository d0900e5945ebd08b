import t from "tap";
import { decodeMember } from "../src/state/member_record.ts";

t.test("a member's record with a port that can't be dialled is rejected", (t) => {
  // Guards against an exception when the member is dialled.
  const member = { instance: "entry-1", host: "10.0.0.1", port: 7000 };
  t.same(decodeMember(JSON.stringify(member)), member);
  for (const port of ["0", "-1", "7000.5", "65536", "1e300", "1e999", '"7"']) {
    const text = `{"instance":"entry-1","host":"10.0.0.1","port":${port}}`;
    t.equal(decodeMember(text), undefined, port);
  }
  t.end();
});
