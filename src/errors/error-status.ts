/** HTTP status of an error kind. */
export type ErrorStatus = {
	/** HTTP status code. */
	readonly status: number;
	/** Whether a later retry can succeed; `Retry-After` is sent only in that case. */
	readonly comeBack: boolean;
};
