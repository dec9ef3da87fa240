/** Bytes that arrive in pieces and are kept in one piece of memory. */
export type ByteBuffer = {
	readonly length: () => number;
	readonly append: (chunk: Buffer) => void;
	/** Returns all bytes and empties the buffer. */
	readonly take: () => Buffer;
	readonly clear: () => void;
};
