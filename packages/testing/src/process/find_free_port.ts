/** Addresses on the loopback interface that no other test process uses. @module */
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

/** Second byte of the first host, and the number of values that it may have. */
const FIRST_NETWORK = 64;
const NETWORK_COUNT = 64;
const BYTE_VALUES = 256;

/** Ports that this process was given before, by host. */
const givenPorts = new Map<string, Set<number>>();

/**
 * Returns an address of 127.64.0.0/10 that belongs to one process. Process ids
 * have 22 bits on Linux, so no two processes have the same. Connections from the
 * loopback interface leave from 127.0.0.1 and take no port of it.
 */
export function loopbackHost(processId: number): string {
  const network = Math.floor(processId / BYTE_VALUES ** 2) % NETWORK_COUNT;
  const upper = Math.floor(processId / BYTE_VALUES) % BYTE_VALUES;
  return `127.${FIRST_NETWORK + network}.${upper}.${processId % BYTE_VALUES}`;
}

/**
 * Returns a port that is free on the host, and not the same one twice. On a host
 * that other processes use, one of them may take it meanwhile. Prefer port 0 if
 * the actual port can be read back.
 */
export async function findFreePort(host: string): Promise<number> {
  const given = givenPorts.get(host) ?? new Set();
  givenPorts.set(host, given);
  for (;;) {
    const port = await chooseFreePort(host);
    if (given.has(port)) continue;
    given.add(port);
    return port;
  }
}

async function chooseFreePort(host: string): Promise<number> {
  const server = createServer();
  server.listen(0, host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}
