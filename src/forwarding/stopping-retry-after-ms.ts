/** Time after which a caller may come back whom a stopping host refuses, in milliseconds: short, since another host can accept the request at once. */
export const stoppingRetryAfterMs = 30;
