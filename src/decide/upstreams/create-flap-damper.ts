import {type FlapDamper} from './flap-damper.js';

const minHoldMs = 5000;
const maxHoldMs = 120_000;

/**
Creates a flap damper. An upstream that is reported as leaving counts as leaving at once, and stops counting so only after it has
been reported as not leaving for a hold time. The hold time doubles each time the upstream is newly reported as leaving, so that a
flapping upstream stays out of use.
*/
export function createFlapDamper(): FlapDamper {
	let holdMs = 0;
	let isLeaving = false;
	let wasReportedLeaving = false;
	let availableSince = 0;
	return {
		observe(leaving, now) {
			if (leaving && !wasReportedLeaving) {
				holdMs = Math.min(maxHoldMs, Math.max(minHoldMs, holdMs * 2));
			}

			if (!leaving && wasReportedLeaving) {
				availableSince = now;
			}

			wasReportedLeaving = leaving;
			isLeaving = leaving || (isLeaving && now - availableSince < holdMs);
			return isLeaving;
		},
	};
}
