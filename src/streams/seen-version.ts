/** A software version that a host has seen among the upstreams of a service with several ones. */
export type SeenVersion = {
	readonly service: string;
	readonly version: string;
	/** Time since it was last listed, in milliseconds. */
	readonly ageMs: number;
};
