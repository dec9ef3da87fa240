/** An order to take a weight version. */
export type WeightUpdateOrder = {
	readonly model: string;
	readonly version: number;
	/** Name of the lease's holder. */
	readonly holder: string;
	/** Grows with each change of holder. */
	readonly token: number;
	/** The engine refuses the order if it has accepted another number of orders. */
	readonly expectedOrders: number;
};
