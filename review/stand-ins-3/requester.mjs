/** Stand-in for requesters. */
import { Agent, request } from "node:http";
import { randomBytes } from "node:crypto";

export function attemptId() {
  return randomBytes(8).toString("hex");
}

/** Sends one request; resolves to what the requester got, whatever happens. */
export function send({ port, agent, method = "POST", path, headers, body, timeout }) {
  const id = headers["Sycamorepulley-Attempt-Id"];
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (result) =>
      resolve({ id, sentAt, endedAt: performance.now(), ...result });
    const outgoing = request(
      { host: "127.0.0.1", port, agent, method, path, headers },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.once("close", () =>
          finish({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            complete: response.complete,
          })
        );
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), timeout);
    outgoing.once("close", () => clearTimeout(timer));
    outgoing.once("error", (error) => finish({ failure: error.code }));
    outgoing.end(body);
  });
}

export function keptChannels() {
  return new Agent({ keepAlive: true, maxSockets: 64 });
}
