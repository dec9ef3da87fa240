/** A software version of a service that serves, or has served. */
export type ServedVersion = {
	readonly service: string;
	readonly version: string;
	/** When it was no longer listed, in Unix milliseconds; `undefined` while it serves. */
	readonly until?: number | undefined;
};
