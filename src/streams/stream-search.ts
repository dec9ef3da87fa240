/** A stream whose version is looked for. */
export type StreamSearch = {
	/** Id of the request whose response brought the first event. */
	readonly id: string;
	readonly service: string;
	/** Longest time since the stream began, in milliseconds. */
	readonly maxAgeMs: number;
};
