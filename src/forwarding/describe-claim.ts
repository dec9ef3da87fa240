import {type Placement} from './placement.js';

/** Returns the fields of a log line that state how the place of a request was claimed. */
export function describeClaim({claim}: Pick<Placement, 'claim'>): {readonly candidatesTried?: number; readonly quotedWaitMs?: number | undefined} {
	return claim ? {candidatesTried: claim.candidatesTried, quotedWaitMs: claim.quotedWaitMs === undefined ? undefined : Math.round(claim.quotedWaitMs)} : {};
}
