/** An upstream's answer that is kept for replay. */
export type StoredResponse = {
	readonly status: number;
	readonly contentType: string;
	/** The body, or nothing when it stands in an object of its own or was too large to keep. */
	readonly body?: string;
	/** Key of the platform object that holds the body. */
	readonly object?: string;
};
