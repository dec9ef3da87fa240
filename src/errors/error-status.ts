/** HTTP status of an error kind. */
export type ErrorStatus = {
	/** HTTP status code. */
	readonly status: number;
	/** Whether a later retry can succeed; only then `Retry-After` is sent. */
	readonly comeBack: boolean;
};
