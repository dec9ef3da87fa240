import {type CondemnedParts} from './condemned-parts.js';
import {coversParts} from './covers-parts.js';
import {poisonLimits} from './poison-limits.js';

/**
Adds condemned parts to the stored ones; drops those whose refusal has ended, those that others cover, and the oldest above the limit.

@param now - In Unix milliseconds.
*/
export function mergeCondemnedParts(stored: readonly CondemnedParts[], added: readonly CondemnedParts[], now: number): readonly CondemnedParts[] {
	const all = [...added, ...stored].filter(({until}) => until > now);
	return all
		.filter((condemned, index) => !all.some((other, at) => at !== index && coversParts(other, condemned) && (!coversParts(condemned, other) || at < index)))
		.toSorted((a, b) => b.until - a.until)
		.slice(0, poisonLimits.maxCondemned);
}
