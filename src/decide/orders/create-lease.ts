import {type Lease} from './lease.js';

/** Times of a lease, in milliseconds. */
type LeaseTimes = {
	/** Another host may acquire the lease after it has observed no renewal for this long. */
	readonly leaseMs: number;
	/** The holder stops acting this long before its lease expires. */
	readonly marginMs: number;
};

/** Times of the lease to control a failure domain's engines. */
const domainLeaseTimes: LeaseTimes = {leaseMs: 9000, marginMs: 4000};

/**
Creates one host's view of a lease. Another host may acquire the lease only after it has observed no renewal for `leaseMs`;
the holder stops acting `marginMs` before that time has passed since it began its last successful renewal. Each host uses
only its own clocks, so clocks of different hosts are never compared.

@param waitNow - Present time by the clock for waits for others.
*/
export function createLease(waitNow: number, {leaseMs, marginMs}: LeaseTimes = domainLeaseTimes): Lease {
	let latestVersion = 0;
	let latestToken = 0;
	/** When the lease object was last seen to change, or the last own renewal began, by the clock for waits. */
	let changedAt = waitNow;
	let isHolder = false;
	/** By the clock for the host's own rights. */
	let heldUntil = Number.NEGATIVE_INFINITY;
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
		recordRenewal(version, fencing, {held, wait}) {
			latestVersion = version;
			latestToken = fencing;
			changedAt = wait;
			isHolder = true;
			heldUntil = held + leaseMs - marginMs;
		},
		markLost() {
			isHolder = false;
		},
		fencing: at => isHolder && at < heldUntil ? latestToken : undefined,
		version: () => latestVersion,
		latestFencingToken: () => latestToken,
	};
}
