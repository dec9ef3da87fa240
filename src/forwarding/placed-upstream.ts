import {type Upstream} from './upstream.js';

/** The start of an upstream that a request was placed at; it may have left by the time the request is sent. */
export type PlacedUpstream = Pick<Upstream, 'id' | 'startedAt'>;
