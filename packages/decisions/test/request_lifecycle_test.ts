import t from "tap";
import { ProcessLifecycle, RequestLifecycle } from "../src/mod.ts";

t.test("a request is handed over at most once", (t) => {
  // If two sidecars grant at the same time, the request must not run twice.
  const lifecycle = new RequestLifecycle();
  t.equal(lifecycle.apply("handOver"), true);
  t.equal(lifecycle.apply("handOver"), false);
  t.equal(lifecycle.apply("refuse"), false);
  t.equal(lifecycle.state, "handedOver");
  t.end();
});

t.test("a final state has no transitions", (t) => {
  const lifecycle = new RequestLifecycle();
  lifecycle.apply("refuse");
  t.ok(lifecycle.final);
  t.equal(lifecycle.apply("handOver"), false);
  t.end();
});

t.test("a second stop event is ignored", (t) => {
  const lifecycle = new ProcessLifecycle();
  lifecycle.apply("started");
  t.equal(lifecycle.apply("stop"), true);
  t.equal(lifecycle.apply("stop"), false);
  t.equal(lifecycle.state, "leaving");
  t.end();
});
