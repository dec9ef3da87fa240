import {type ResponseHead} from './response-head.js';

/** Callbacks of a request to an upstream. Exactly one of `onEnd` and `onFail` is called, as the last callback. */
export type ResponseListener = {
	readonly onHead: (head: ResponseHead) => void;
	/** @returns Whether more data can be accepted now; after `false` delivery pauses until `resume`. */
	readonly onData: (chunk: Buffer) => boolean;
	/** @returns Whether the response is complete by its content too. */
	readonly onEnd: () => boolean;
	/** @param wasSent - Whether any part of the request may have reached the upstream. */
	readonly onFail: (error: Error, wasSent: boolean) => void;
};
