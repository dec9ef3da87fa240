/** Refused callers are told to retry after the least time, in milliseconds, plus a random part of the spread, so that they don't all return at once. */
export const retryAfterSpread = {minMs: 300, spreadMs: 700} as const;
