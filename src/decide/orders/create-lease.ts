import {type Lease} from './lease.js';

/** Times of a lease, in milliseconds. */
type LeaseTimes = {
	/** A challenger waits until it has seen no renewal for this long. */
	readonly leaseMs: number;
	/** The holder stops acting this long before its lease ends. */
	readonly marginMs: number;
};

const domainLeaseTimes: LeaseTimes = {leaseMs: 9000, marginMs: 4000};

/**
Creates the view of a lease. A challenger waits until it has seen no renewal for the whole lease time; the holder stops
acting well before that, counted from the start of its last successful renewal, so no two clocks are compared.
*/
export function createLease(now: number, {leaseMs, marginMs}: LeaseTimes = domainLeaseTimes): Lease {
	let latestVersion = 0;
	let latestToken = 0;
	let changedAt = now;
	let isHolder = false;
	let heldUntil = 0;
	return {
		observe(version, fencing, at) {
			if (version !== latestVersion) {
				latestVersion = version;
				latestToken = fencing;
				changedAt = at;
				isHolder = false;
			}
		},
		canAcquire: at => latestVersion === 0 || at - changedAt >= leaseMs,
		recordRenewal(version, fencing, startedAt) {
			latestVersion = version;
			latestToken = fencing;
			changedAt = startedAt;
			isHolder = true;
			heldUntil = startedAt + leaseMs - marginMs;
		},
		markLost() {
			isHolder = false;
		},
		fencing: at => isHolder && at < heldUntil ? latestToken : undefined,
		version: () => latestVersion,
		latestFencingToken: () => latestToken,
	};
}
