import {type FlapDamper} from './flap-damper.js';

const shortestHoldMs = 5000;
const longestHoldMs = 120_000;

/**
Creates the damping of a leaving mark: a mark counts at once, its end only after the upstream has said so for a hold
time that doubles with every new mark, so that a flapping upstream stays out.
*/
export function createFlapDamper(): FlapDamper {
	let holdMs = 0;
	let isLeaving = false;
	let wasSaid = false;
	let backSince = 0;
	return {
		observe(leaving, now) {
			if (leaving && !wasSaid) {
				holdMs = Math.min(longestHoldMs, Math.max(shortestHoldMs, holdMs * 2));
			}

			if (!leaving && wasSaid) {
				backSince = now;
			}

			wasSaid = leaving;
			isLeaving = leaving || (isLeaving && now - backSince < holdMs);
			return isLeaving;
		},
	};
}
