/** A complete response of a plain service. */
export type PlainResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
	/** Whether it is the stored response of an earlier run with the same idempotency key. */
	readonly isReplay: boolean;
};
