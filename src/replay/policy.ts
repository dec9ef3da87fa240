/** A way to decide, for comparison in one run. */
export type Policy = {
	readonly name: string;
	/** How engines are ranked. */
	readonly ranking: 'score' | 'random' | 'least-reported' | 'two-choices' | 'prefix';
	/** Which stored pieces are fetched: as scored, all, or none. */
	readonly fetchMode: 'scored' | 'always' | 'never';
	/** Owners asked at once; the first grant wins. */
	readonly fanout: number;
	/** Whether the owner shares slots between workspaces, or serves in order of arrival. */
	readonly usesFairQueueing: boolean;
};
