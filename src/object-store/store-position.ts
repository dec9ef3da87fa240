/** A position in the history of the platform's store. */
export type StorePosition = {
	/** How often the store had returned from an older copy. Revisions of different epochs can't be compared. */
	readonly epoch: number;
	readonly revision: number;
};
