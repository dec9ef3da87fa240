import {faultWeights, type Fault, type FaultKind} from './fault.js';

const firstFaultAtMs = 500;
const meanGapMs = 1300;
const minDurationMs = 200;
const maxDurationMs = 4000;
/** Share of the faults that follow the previous one after a tenth of the usual gap, so that some faults overlap. */
const burstShare = 0.3;

/** Draws the faults of a soak, all of which end by `untilMs`. */
export function planFaults(random: () => number, untilMs: number): readonly Fault[] {
	const kinds = Object.entries(faultWeights).flatMap(([kind, weight]) => Array.from({length: weight}, () => kind as FaultKind));
	const faults: Fault[] = [];
	let atMs = firstFaultAtMs;
	while (atMs < untilMs) {
		const durationMs = minDurationMs + (random() * (maxDurationMs - minDurationMs));
		faults.push({
			kind: kinds[Math.floor(random() * kinds.length)]!, atMs, durationMs: Math.min(durationMs, untilMs - atMs), targetFraction: random(),
		});
		const gapMs = -Math.log(1 - random()) * meanGapMs;
		atMs += random() < burstShare ? gapMs / 10 : gapMs;
	}

	return faults;
}
