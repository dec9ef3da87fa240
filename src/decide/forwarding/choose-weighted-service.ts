import {type Route} from '../../forwarding/route.js';

/**
Chooses one of a route's services at random, in proportion to their weights.

@param draw - Uniform random number, at least 0 and less than 1.
@returns `undefined` where no service has a weight above 0.
*/
export function chooseWeightedService(targets: Route['targets'], draw: number): string | undefined {
	const total = targets.reduce((sum, target) => sum + target.weight, 0);
	let left = draw * total;
	for (const target of targets) {
		left -= target.weight;
		if (left < 0 && target.weight > 0) {
			return target.service;
		}
	}

	return targets.findLast(target => target.weight > 0)?.service;
}
