/** The whole answer of a plain service. */
export type PlainResponse = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
	/** Whether it was kept from an earlier run of the same key. */
	readonly isReplay: boolean;
};
