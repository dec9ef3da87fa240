import {log} from '../observe/log.js';

/** A process that does nothing for this long stands still. */
const standstillMs = 500;

/** Tells whether this process has stood still. */
export type StandstillDetector = {
	/** Is called several times a second; a longer gap shows that this process stood still. */
	readonly tick: () => void;
	/** Returns for how long this process has run without standing still, in milliseconds; infinite since its start. */
	readonly runningForMs: () => number;
};

/**
Creates the detector.

@param now - Clock in milliseconds that also advances while the machine is suspended.
*/
export function createStandstillDetector(now: () => number): StandstillDetector {
	let tickedAt = now();
	/** A process that has just started has read everything anew. */
	let runningSince = Number.NEGATIVE_INFINITY;

	const tick = (): void => {
		const at = now();
		if (at - tickedAt > standstillMs) {
			runningSince = at;
			log.info({standstillMs: Math.round(at - tickedAt)}, 'this process stood still');
		}

		tickedAt = at;
	};

	return {
		tick,
		runningForMs() {
			tick();
			return tickedAt - runningSince;
		},
	};
}
