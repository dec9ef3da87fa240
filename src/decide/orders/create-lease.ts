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
only its own clock, so clocks of different hosts are never compared.
*/
export function createLease(now: number, {leaseMs, marginMs}: LeaseTimes = domainLeaseTimes): Lease {
	let latestVersion = 0;
	let latestToken = 0;
	/** Time of the last observed change of the lease object, or of the start of the last own renewal. */
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
