import {type PlannedOrder} from './planned-order.js';

/** An engine's reported state. Versions are written `model@version`. */
type EngineState = {
	readonly engine: string;
	readonly loaded: readonly string[];
	readonly isUp: boolean;
	/** Whether an order to this engine is in progress. */
	readonly busy: boolean;
};

/**
Plans orders that bring engines from their reported to their desired state.

@param desired - Model versions that every engine should have loaded, as `model@version`.
@param concurrentLoads - Maximum number of engines that load at the same time, including orders in progress.
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
			// An old version is unloaded only when the engine has loaded all desired ones.
			orders.push({engine, kind: 'unload', what: superfluous});
		}
	}

	return orders;
}
