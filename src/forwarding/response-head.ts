/** The head of an upstream's answer, decoded. */
export type ResponseHead = {
	readonly status: number;
	/** Id of the request that is answered. */
	readonly requestId: string | undefined;
	/** Whether the upstream has signed the answer as its own. */
	readonly isSigned: boolean;
	/** Whether the upstream says that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the body is encoded, which the upstream itself never does. */
	readonly isEncoded: boolean;
	/** Set where another upstream than the expected one answers. */
	readonly upstreamId: string | undefined;
	readonly weightVersion: number | undefined;
	/** Names and values, in turn, that go on to the caller unchanged. */
	readonly headers: readonly string[];
};
