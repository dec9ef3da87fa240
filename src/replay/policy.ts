/** Routing, fetching and queueing policy that a trace is replayed with. */
export type Policy = {
	readonly name: string;
	/** Order in which engines are tried. */
	readonly ranking: 'score' | 'random' | 'least-reported' | 'two-choices' | 'prefix';
	/** When the stored pieces that follow an engine's cached prefix are fetched: when that lowers the routing score, always, or never. */
	readonly fetchMode: 'scored' | 'always' | 'never';
	/** Number of engine owners that get a slot request at the same time; the first grant wins. */
	readonly fanout: number;
	/** Whether an owner shares slots fairly between workspaces; otherwise it grants in order of arrival. */
	readonly usesFairQueueing: boolean;
};
