/** An upstream's response, stored so that it can be replayed when the request is sent again. */
export type StoredResponse = {
	readonly status: number;
	readonly contentType: string;
	/** The body; absent when it is stored in an object of its own, has expired or was too large to store. */
	readonly body?: string;
	/** Key of the platform object that holds the body. */
	readonly object?: string;
};
