import {type PieceUsage} from './piece-usage.js';

const returnTimeScaleMs = 600_000;
const decayExponent = 0.7;
const priorReturns = 0.5;
const priorMisses = 1;
const depthDiscount = 0.002;

/**
Gives the value of keeping a piece: chance of return, times tokens saved, per byte. The chance falls with a power of the
age, since gaps run from minutes to days.
*/
export function scorePieceRetention({uses, ageMs, tokens, bytes, depth}: PieceUsage): number {
	const returns = Math.max(0, uses - 1);
	const returnProbability = (returns + priorReturns) / (returns + priorReturns + priorMisses);
	const ageFactor = (1 + (ageMs / returnTimeScaleMs)) ** -decayExponent;
	return returnProbability * ageFactor * tokens / bytes / (1 + (depthDiscount * depth));
}
