import {faultWeights, type Fault, type FaultKind} from './fault.js';

const firstFaultAtMs = 500;
const meanGapMs = 1300;
const minDurationMs = 200;
const maxDurationMs = 4000;
/** Share of the faults that follow the one before at once, so that some come in series and overlap. */
const burstShare = 0.3;

/** Draws the faults of a soak that go on for `untilMs`. */
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
