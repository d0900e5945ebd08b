/** Where load may go. @module */

const LOOPBACK = /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/;

/** The URL without a slash at its end. Throws unless it is on 127.0.0.0/8. */
export function loadTarget(text: string): string {
  const url = new URL(text);
  if (url.protocol !== "http:" || !LOOPBACK.test(url.hostname)) {
    throw new Error(
      `load goes to loopback only: use http://127.0.0.1:<port>, not ${text}`,
    );
  }
  return url.origin;
}
