import {type ResponseHead} from './response-head.js';

/** What happens to a request at an upstream. Exactly one of `onEnd` and `onFail` comes, and it comes last. */
export type ResponseListener = {
	readonly onHead: (head: ResponseHead) => void;
	/** @returns Whether more can be taken at once; after `false` the sender waits for `resume`. */
	readonly onData: (chunk: Buffer) => boolean;
	readonly onEnd: () => void;
	/** @param wasSent - Whether any part of the request may have reached the upstream. */
	readonly onFail: (error: Error, wasSent: boolean) => void;
};
