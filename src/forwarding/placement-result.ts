import {type FailureReason} from '../decide/forwarding/failure-reason.js';
import {type KnownHost} from '../reports/known-host.js';
import {type Placement} from './placement.js';

/** The upstream to send to, the host to hand the request on to, or the reason why the request is not sent. */
export type PlacementResult
	= | {readonly placement: Placement; readonly releaseRoom: () => void}
		| {readonly helper: KnownHost}
		| {readonly reason: FailureReason; readonly retryAfterMs?: number | 'never'};
