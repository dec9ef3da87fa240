/** An operator's entry that takes a failure domain out of service, or the record that it was removed. */
export type EvacuationEntry = {
	/** Name of the failure domain. */
	readonly name: string;
	/** Position in the store's history of the last change. */
	readonly epoch: number;
	readonly revision: number;
	readonly value: unknown;
};
