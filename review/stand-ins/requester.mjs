/** Sends requests of a small deployment and collects what comes back. */
import { configuration, HOST, KEY, ROUTES } from "./configuration.mjs";
import { send, sleep } from "./harness.mjs";

export { configuration };

/** Sends one attempt to a gateway; records it and returns the outcome. */
export async function attempt(run, kind, gateway, usage = ROUTES[kind].usage) {
  const { path, method = "POST", deadline } = ROUTES[kind];
  const id = run.newAttempt();
  const sentAt = run.now;
  run.note(`requester sends ${id}, ${kind}, to ${gateway.name}`);
  const answer = await send({
    port: gateway.front,
    host: HOST,
    method,
    path,
    deadline,
    body: method === "GET" ? undefined : Buffer.alloc(600, "x"),
    headers: {
      "sycamorepulley-attempt-id": id,
      "sycamorepulley-credential": KEY,
      ...(usage && {
        "sycamorepulley-model": "m",
        "sycamorepulley-token-usage": usage,
        "sycamorepulley-prompt-prefix": `5c1e07a2:60,${id}:1400`,
      }),
    },
  });
  const { status, end, body } = answer;
  const detail = status === 200 ? `${body.length} bytes` : body.toString().trim();
  run.note(`requester gets ${id}: ${status ?? "no status"}, ${end}, ${detail}`);
  return { id, kind, usage, sentAt, gateway, ...answer };
}

/** Sends requests of the kinds in turn to all gateways until `stop` is called. */
export function startTraffic(run, { kinds, interval, usageOf = () => undefined }) {
  const outcomes = [];
  const pending = new Set();
  let isRunning = true;
  const loop = (async () => {
    for (let index = 0; isRunning; index++) {
      const kind = kinds[index % kinds.length];
      const gateway = run.gateways[index % run.gateways.length];
      const sent = attempt(run, kind, gateway, usageOf(index) ?? ROUTES[kind].usage);
      pending.add(sent);
      sent.then((outcome) => {
        outcomes.push(outcome);
        pending.delete(sent);
      });
      await sleep(interval);
    }
  })();
  return {
    outcomes,
    stop: async () => {
      isRunning = false;
      await loop;
      await Promise.all(pending);
      return outcomes;
    },
  };
}

/** Runs a case, and ends the process with its result: 0, 1, or 2. */
export async function runCase(run, body) {
  const limit = setTimeout(() => finish(2, "the case took too long"), 115_000);
  async function finish(code, text) {
    clearTimeout(limit);
    run.say(text);
    await run.end();
    process.exit(code);
  }
  try {
    const { broken, text } = await body();
    await finish(broken ? 1 : 0, text);
  } catch (error) {
    await finish(2, `the case could not run: ${error?.stack ?? error}`);
  }
}
