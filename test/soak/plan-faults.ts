import {faultWeights, type Fault, type FaultKind} from './fault.js';

const firstMs = 500;
const meanGapMs = 1300;
const shortestMs = 200;
const longestMs = 4000;
/** Share of the faults that follow the one before at once, so that some come in series and overlap. */
const seriesShare = 0.3;

/** Draws the faults of a soak that go on for `untilMs`. */
export function planFaults(random: () => number, untilMs: number): readonly Fault[] {
	const kinds = Object.entries(faultWeights).flatMap(([kind, weight]) => Array.from({length: weight}, () => kind as FaultKind));
	const faults: Fault[] = [];
	let atMs = firstMs;
	while (atMs < untilMs) {
		const forMs = shortestMs + (random() * (longestMs - shortestMs));
		faults.push({
			kind: kinds[Math.floor(random() * kinds.length)]!, atMs, durationMs: Math.min(forMs, untilMs - atMs), targetFraction: random(),
		});
		const gapMs = -Math.log(1 - random()) * meanGapMs;
		atMs += random() < seriesShare ? gapMs / 10 : gapMs;
	}

	return faults;
}
