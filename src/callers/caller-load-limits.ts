import {type BodyBudget} from '../decide/bodies/body-budget.js';
import {type LimitReason} from './limit-reason.js';

/** What all callers together may take of a host. */
export type CallerLoadLimits = {
	/** Budget of the bodies that are arriving or being forwarded. */
	readonly bodies: BodyBudget;
	/** Least rate of a body over its whole time. */
	readonly minBodyBytesPerS: number;
	/** Called for each request that is refused and each connection that is closed because of a limit. */
	readonly onLimit: (reason: LimitReason) => void;
};
