import {type Upstream} from '../forwarding/upstream.js';

/**
Returns whether an upstream is the start that a stream was placed at, so that its software version is known; asks it where it may have started again
unnoticed. If not, or if that took long, the stream is to be placed anew.

@param mustMatch - Whether the stream has begun at a version, so that it may only go on there.
*/
export type StartVerifier = (upstream: Upstream, mustMatch: boolean) => Promise<boolean>;
