/** Why a request is not sent to an upstream any more. */
export type RefusalCause = {
	/** Whether the request itself crashed upstreams, or parts of its prompt did in other requests. */
	readonly kind: 'request' | 'parts';
	readonly parts: readonly string[];
	/** Upstreams that crashed. */
	readonly upstreams: readonly string[];
	/** When the refusal ends, in milliseconds of the tracker's clock. */
	readonly until: number;
};
