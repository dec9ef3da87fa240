/** What a host says of a stream that another one asks for. */
export type StreamAnswer = {
	/** Version that began the stream; `null` where the host does not know it. */
	readonly version: string | null;
	/** Whether the host has been there since before the service had several versions, or since before the stream can have begun. */
	readonly remembers?: boolean;
};
