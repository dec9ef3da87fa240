import {type CrashReport} from '../../poison/crash-report.js';

/** Leaves out the parts of prompts of the later crashes once the earlier ones have more than `maxParts`, so that reports stay small. */
export function limitReportedParts(crashes: readonly CrashReport[], maxParts: number): readonly CrashReport[] {
	let partsLeft = maxParts;
	return crashes.map(crash => {
		const [digest, upstream, startedAt, traits] = crash;
		partsLeft -= traits?.parts.length ?? 0;
		return partsLeft >= 0 ? crash : [digest, upstream, startedAt];
	});
}
