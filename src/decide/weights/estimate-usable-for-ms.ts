import {getUsableForMs} from './get-usable-for-ms.js';
import {type WeightAges} from './weight-ages.js';

/** Time that is assumed to be left where an age is not known: other hosts may know that it is young. */
const leastUnknownMs = 1;

/** Weights of an engine. */
type EngineWeights = {
	readonly model: string;
	readonly version: number;
	/** Time after which no request may start on stale weights, in milliseconds. */
	readonly maxStaleMs: number;
};

/** Estimates for how long some host may still send requests to an engine, in milliseconds; not positive when none does. */
export function estimateUsableForMs(ages: Pick<WeightAges, 'isUnknown' | 'getStaleForMs' | 'getLeastStaleForMs'>, {model, version, maxStaleMs}: EngineWeights): number {
	return ages.isUnknown(model, version)
		? Math.max(leastUnknownMs, getUsableForMs(ages.getStaleForMs(model, version) ?? 0, maxStaleMs))
		: getUsableForMs(ages.getLeastStaleForMs(model, version) ?? 0, maxStaleMs);
}
