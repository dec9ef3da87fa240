/** Text in the target of a request that crashes the upstreams that run it. */
export const crashMark = 'crash';
