/** An HTTP response whose body has been parsed as JSON. */
export type JsonResponse = {
	readonly status: number;
	readonly body: any;
	/** Length of the body in bytes. */
	readonly bytes: number;
};
