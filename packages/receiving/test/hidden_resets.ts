/** Simulates a kernel that shows nothing of a reset at the end. @module */
import { Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** A socket with the member that asks the kernel for the peer. */
type PeerSocket = Socket & { _getpeername(): Partial<AddressInfo> };

/**
 * Until the returned function is called, each socket has a peer and each write
 * of no bytes succeeds.
 */
export function hideResets(): () => void {
  const kernel = Socket.prototype as PeerSocket;
  const original = { _getpeername: kernel._getpeername, _write: kernel._write };
  kernel._getpeername = function () {
    const found = original._getpeername.call(this);
    return found.address === undefined ? { address: "127.0.0.1" } : found;
  };
  kernel._write = function (chunk: Buffer, encoding, callback) {
    if (chunk.length === 0) callback();
    else original._write.call(this, chunk, encoding, callback);
  };
  return () => Object.assign(kernel, original);
}
