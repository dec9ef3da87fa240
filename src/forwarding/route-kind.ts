/**
What may be repeated of a route's requests: `idempotent` ones freely, `stream` ones only from an offset where the route is
resumable, `once` ones never.
*/
export type RouteKind = 'idempotent' | 'once' | 'stream';
