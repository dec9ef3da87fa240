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

@param wanted - Wanted model versions of every engine.
@param concurrentLoads - Loads at the same time, those under way counted.
*/
export function planOrders(wanted: readonly string[], engines: readonly EngineState[], concurrentLoads: number): readonly PlannedOrder[] {
	let loads = engines.filter(engine => engine.busy).length;
	const orders: PlannedOrder[] = [];
	for (const {engine, loaded, isUp, busy} of engines) {
		const missing = wanted.find(what => !loaded.includes(what));
		const extra = loaded.find(what => !wanted.includes(what));
		if (!isUp || busy) {
			continue;
		}

		if (missing !== undefined && loads < concurrentLoads) {
			loads++;
			orders.push({engine, kind: 'load', what: missing});
		} else if (missing === undefined && extra !== undefined) {
			// The old version goes only where the new one is there.
			orders.push({engine, kind: 'unload', what: extra});
		}
	}

	return orders;
}
