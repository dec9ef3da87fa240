/** How an error kind is answered over HTTP. */
export type Answer = {
	/** HTTP status code. */
	readonly status: number;
	/** Whether coming back later can help, so that `Retry-After` is sent. */
	readonly comeBack: boolean;
};
