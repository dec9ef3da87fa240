/** An order to an engine to load a weight version. */
export type WeightUpdateOrder = {
	readonly model: string;
	readonly version: number;
	/** Name of the host that holds the roll-out lease. */
	readonly holder: string;
	/** Fencing token of the lease; increases with each change of holder. */
	readonly token: number;
	/** Number of orders that the engine must have accepted so far; it refuses the order otherwise. */
	readonly expectedOrders: number;
};
