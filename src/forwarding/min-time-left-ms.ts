/** With less time left, in milliseconds, a request is not sent: the response could not reach the caller in time. */
export const minTimeLeftMs = 20;
