/** What an engine reports of itself. */
export type EngineReport = {
	/** Weight version of each model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Whether an order is being carried out. */
	readonly isBusy: boolean;
	/** Orders accepted since the engine started. */
	readonly orders: number;
};

/** An order to take a weight version. */
export type VersionOrder = {
	readonly model: string;
	readonly version: number;
	/** Name of the lease's holder. */
	readonly holder: string;
	/** Grows with each change of holder. */
	readonly token: number;
	/** The engine refuses the order if it has accepted another number of orders. */
	readonly expectedOrders: number;
};

/**
How an engine answered an order. `fenced`: it has seen a higher token; `conflict`: another order is under way or came before;
`gone`: another engine has the address; `invalid`: the engine does not know such an order.
*/
export type OrderAnswer = 'accepted' | 'holds' | 'conflict' | 'fenced' | 'gone' | 'invalid';

/** A change of what a store of kept context holds. */
export type PartEvent = {
	readonly isAdded: boolean;
	readonly scope: string;
	readonly part: string;
	readonly tokens: number;
};

/** What a store of kept context holds, or how that has changed. */
export type PartNews = {
	/** Changes when the store restarts, which empties it. */
	readonly epoch: number;
	/** Where to go on from. */
	readonly next: number;
	/** Whether events before these were dropped. */
	readonly hasGap: boolean;
	/** The store's clock in milliseconds; `undefined` where it does not give it. */
	readonly clockMs: number | undefined;
	readonly events: readonly PartEvent[];
};

/** Calls to engines and to stores of kept context, apart from requests of callers. Every function may throw. */
export type EngineControl = {
	readonly report: (address: string) => Promise<EngineReport>;
	/** Sends an order to the engine with this id only. */
	readonly order: (address: string, upstreamId: string, order: VersionOrder) => Promise<OrderAnswer>;
	/** Waits for events after `since`. */
	readonly pollParts: (address: string, since: number, waitMs: number) => Promise<PartNews>;
	/** Lists the whole parts held, as additions. */
	readonly listParts: (address: string) => Promise<PartNews>;
	/** Frees parts, unless the store has restarted since `epoch`. */
	readonly freeParts: (address: string, epoch: number, parts: ReadonlyArray<{readonly scope: string; readonly part: string}>) => Promise<boolean>;
	/** Whether an address takes connections. Never throws. */
	readonly isUp: (address: string) => Promise<boolean>;
	readonly stop: () => Promise<void>;
};
