import t from "tap";
import { createRetryBudgets } from "../src/request/retry_budgets.ts";

const BOUNDS = {
  gracePeriodSeconds: 8,
  retryRatio: 0.2,
  retrySlack: 50,
  retryWindowSeconds: 10,
  quotaWindowSeconds: 8,
  quotaOverage: 0.1,
  quotaSlack: 0,
};

t.test("an entry's part of the resends follows the size of the fleet", (t) => {
  // Counted once, by an entry that knew no other yet, it stayed the whole.
  let entries = 1;
  const takeResend = createRetryBudgets(() => BOUNDS, () => entries);
  const allowed = (now: number) => {
    let count = 0;
    while (takeResend("calls", now)) count++;
    return count;
  };
  const alone = allowed(0);
  entries = 10;
  t.ok(allowed(10_000) <= alone / 5);
  entries = 1;
  t.ok(allowed(10_000) <= 1, "growing brings no burst");
  t.ok(allowed(60_000) >= alone - 1);
  t.end();
});
