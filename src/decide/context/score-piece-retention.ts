import {type PieceUsage} from './piece-usage.js';

const reuseTimeScaleMs = 600_000;
const decayExponent = 0.7;
const priorReuses = 0.5;
const priorNonReuses = 1;
const depthDiscount = 0.002;

/**
Computes the value of keeping a piece: probability of reuse times tokens saved, per byte. The probability falls with a power of the age,
since times between uses range from minutes to days. Pieces further back in the prompt score slightly lower.
*/
export function scorePieceRetention({uses, ageMs, tokens, bytes, depth}: PieceUsage): number {
	const reuses = Math.max(0, uses - 1);
	const reuseProbability = (reuses + priorReuses) / (reuses + priorReuses + priorNonReuses);
	const ageFactor = (1 + (ageMs / reuseTimeScaleMs)) ** -decayExponent;
	return reuseProbability * ageFactor * tokens / bytes / (1 + (depthDiscount * depth));
}
