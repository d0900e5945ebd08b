/**
 * An entry's registration is written late, under a lease that nobody renews.
 * After a restart of the others, two entries grant for the fleet.
 */
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { atEnd, isTroubled, record, runCase, until } from "../stand-ins-3/case.mjs";
import { startFleet } from "../stand-ins-3/fleet.mjs";

const folder = dirname(fileURLToPath(import.meta.url));

await runCase(folder, async () => {
  const fleet = await startFleet({ zones: ["a", "b", "c"], record, atEnd });
  const { store, gateways: [first, second, last] } = fleet;
  first.start();
  second.start();
  await until(() => first.isReady(), "first gateway ready");
  await until(() => second.isReady(), "second gateway ready");
  record("two gateways are ready; the third one starts");
  // Within an impairment of the store that loses answers (4.5 s at most).
  if (isTroubled) store.lateWrites.set(last.name, 2000);
  last.start();
  await until(() => last.isReady(), "third gateway ready");
  await sleep(8000);
  record(`registered: ${store.keys("sycamorepulley/entries/").join(" ")}`);
  record("SIGKILL of the first two gateways at the same moment");
  first.signal("SIGKILL");
  second.signal("SIGKILL");
  await Promise.all([first.exited, second.exited]);
  first.start();
  second.start();
  await until(() => first.isReady(), "first gateway ready again");
  await until(() => second.isReady(), "second gateway ready again");
  record("both are ready again");
  await sleep(5000);
  record(`registered: ${store.keys("sycamorepulley/entries/").join(" ")}`);
  await fleet.flood({ perSecond: 14, duration: 30_000 });
  return fleet.judgeQuota();
});
