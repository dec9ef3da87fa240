/**
Whether a route's requests may be sent again after they may have run: `idempotent` requests always, `stream` requests only from
the last delivered event and only on a resumable route, `once` requests never.
*/
export type RouteKind = 'idempotent' | 'once' | 'stream';
