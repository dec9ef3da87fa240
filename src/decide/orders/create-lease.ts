import {type Lease} from './lease.js';

const leaseMs = 9000;
const marginMs = 4000;

/**
Creates the view of a lease. A challenger waits until it has seen no renewal for the whole lease time; the holder stops
acting well before that, counted from the start of its last successful renewal, so no two clocks are compared.
*/
export function createLease(now: number): Lease {
	let seenVersion = 0;
	let seenFencing = 0;
	let changedAt = now;
	let isHolder = false;
	let heldUntil = 0;
	return {
		observe(version, fencing, at) {
			if (version !== seenVersion) {
				seenVersion = version;
				seenFencing = fencing;
				changedAt = at;
				isHolder = false;
			}
		},
		canTake: at => seenVersion === 0 || at - changedAt >= leaseMs,
		renewed(version, fencing, startedAt) {
			seenVersion = version;
			seenFencing = fencing;
			changedAt = startedAt;
			isHolder = true;
			heldUntil = startedAt + leaseMs - marginMs;
		},
		lose() {
			isHolder = false;
		},
		fencing: at => isHolder && at < heldUntil ? seenFencing : undefined,
		version: () => seenVersion,
		newestFencing: () => seenFencing,
	};
}
