/** Restricts the targets of load to the loopback address. @module */

const LOOPBACK = /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/;

/** Returns the URL's origin. Throws unless its address is in 127.0.0.0/8. */
export function parseLoadTarget(text: string): string {
  const url = new URL(text);
  if (url.protocol !== "http:" || !LOOPBACK.test(url.hostname)) {
    throw new Error(
      `load is sent to loopback only: use http://127.0.0.1:<port>, not ${text}`,
    );
  }
  return url.origin;
}
