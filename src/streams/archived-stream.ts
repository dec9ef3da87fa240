/** A stream that a host has begun, as its archive keeps it. */
export type ArchivedStream = {
	readonly id: string;
	readonly service: string;
	readonly version: string;
	/** When it was added, in Unix milliseconds. */
	readonly at: number;
};
