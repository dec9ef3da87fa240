/** How an error kind is answered over HTTP. */
export type ErrorStatus = {
	/** HTTP status code. */
	readonly status: number;
	/** Whether coming back later can help, so that `Retry-After` is sent. */
	readonly comeBack: boolean;
};
