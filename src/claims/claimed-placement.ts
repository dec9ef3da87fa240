import {type Placement} from '../forwarding/placement.js';

/** The upstream chosen for a request, and the end of its claim of a place there. */
export type ClaimedPlacement = {
	readonly placement: Placement | undefined;
	/** Ends or withdraws the claim, if there is one. */
	readonly endClaim: () => void;
};
