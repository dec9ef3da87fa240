/** An item of a fair queue. */
export type FairQueueItem = {
	readonly id: string;
	readonly service: string;
	readonly serviceWeight: number;
	readonly workspace: string;
	readonly workspaceWeight: number;
	/** Expected work, in tokens. */
	readonly cost: number;
};
