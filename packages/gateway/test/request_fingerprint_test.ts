import t from "tap";
import { requestFingerprint } from "../src/request/backend_headers.ts";

const REQUEST = { method: "POST", host: "a.example", target: "/calls/1" };

t.test("a request is recognised whatever its headers and credential", (t) => {
  const body = Buffer.from("crash");
  const first = {
    ...REQUEST,
    credential: "key-1",
    forwardedHeaders: ["a", "1"],
  };
  const second = { ...REQUEST, credential: "key-2", forwardedHeaders: [] };
  t.equal(
    requestFingerprint(first, "firm", body),
    requestFingerprint(second, "firm", body),
  );
  t.end();
});

t.test("requests that differ in target, organisation or body are told apart", (t) => {
  const body = Buffer.from("crash");
  const fingerprints = [
    requestFingerprint(REQUEST, "firm", body),
    requestFingerprint({ ...REQUEST, method: "PUT" }, "firm", body),
    requestFingerprint({ ...REQUEST, target: "/calls/2" }, "firm", body),
    requestFingerprint(REQUEST, "other", body),
    requestFingerprint(REQUEST, "firm", Buffer.from("other")),
    requestFingerprint(REQUEST, "firm", undefined),
  ];
  t.equal(new Set(fingerprints).size, fingerprints.length);
  t.end();
});
