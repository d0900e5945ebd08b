/**
 * Watches the memory and the open descriptors of a process, by Linux's /proc.
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";

/** Milliseconds between two readings. */
const READING_INTERVAL = 20;
/** Fields of a line of `/proc/net/tcp`, counted from 0. */
const LOCAL_ADDRESS_FIELD = 1;
const QUEUES_FIELD = 4;

/** The largest values that were read; memory in bytes. */
export type ProcessPeaks = {
  /** Resident memory, and bytes that were received and not yet read. */
  memory: number;
  descriptors: number;
};

/** Reads the memory and descriptors of a process until it is stopped. */
export class ProcessWatch {
  readonly peaks: ProcessPeaks = { memory: 0, descriptors: 0 };
  readonly #processId: number;
  readonly #port: number;
  readonly #timer: NodeJS.Timeout;

  /** `port`: on which the process accepts its clients. */
  constructor(processId: number, port: number) {
    this.#processId = processId;
    this.#port = port;
    this.#timer = setInterval(() => this.#read(), READING_INTERVAL);
  }

  /** Number of descriptors that are open; 0 once the process has ended. */
  get descriptors(): number {
    return openDescriptors(this.#processId);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #read(): void {
    const memory = residentMemory(this.#processId) + unreadBytes(this.#port);
    this.peaks.memory = Math.max(this.peaks.memory, memory);
    this.peaks.descriptors = Math.max(this.peaks.descriptors, this.descriptors);
  }
}

/** Resident memory in bytes; 0 once the process has ended. */
function residentMemory(processId: number): number {
  try {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * 1024;
  } catch {
    return 0;
  }
}

function openDescriptors(processId: number): number {
  try {
    return readdirSync(`/proc/${processId}/fd`).length;
  } catch {
    return 0;
  }
}

/** Bytes that connections to a local port have received and nobody has read. */
function unreadBytes(port: number): number {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, "0")}`;
  let bytes = 0;
  for (const line of readFileSync("/proc/net/tcp", "utf8").split("\n")) {
    const fields = line.trim().split(/\s+/);
    if (!fields[LOCAL_ADDRESS_FIELD]?.endsWith(suffix)) continue;
    bytes += Number.parseInt(fields[QUEUES_FIELD]?.split(":")[1] ?? "0", 16);
  }
  return bytes;
}
