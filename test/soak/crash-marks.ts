/** Texts in the target of a request that crashes the upstreams that run it: at once, or once its response has begun. */
export const crashMarks = {any: 'crash', early: 'crash-early', late: 'crash-late'} as const;
