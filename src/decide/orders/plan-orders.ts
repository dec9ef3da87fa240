import {type PlannedOrder} from './planned-order.js';

/** An engine's reported state. */
type EngineState = {
	readonly engine: string;
	readonly loaded: readonly string[];
	readonly isUp: boolean;
	/** Orders under way at this engine. */
	readonly busy: boolean;
};

/**
Plans orders that bring engines from their reported to their wanted state.

@param desired - Wanted model versions of every engine.
@param concurrentLoads - Loads at the same time, those under way counted.
*/
export function planOrders(desired: readonly string[], engines: readonly EngineState[], concurrentLoads: number): readonly PlannedOrder[] {
	let loads = engines.filter(engine => engine.busy).length;
	const orders: PlannedOrder[] = [];
	for (const {engine, loaded, isUp, busy} of engines) {
		const missing = desired.find(version => !loaded.includes(version));
		const superfluous = loaded.find(version => !desired.includes(version));
		if (!isUp || busy) {
			continue;
		}

		if (missing !== undefined && loads < concurrentLoads) {
			loads++;
			orders.push({engine, kind: 'load', what: missing});
		} else if (missing === undefined && superfluous !== undefined) {
			// The old version goes only where the new one is there.
			orders.push({engine, kind: 'unload', what: superfluous});
		}
	}

	return orders;
}
