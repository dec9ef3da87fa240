import {type AnswerHead} from './answer-head.js';

/** What happens to a request at an upstream. Exactly one of `onEnd` and `onFail` comes, and it comes last. */
export type AnswerListener = {
	readonly onHead: (head: AnswerHead) => void;
	/** @returns Whether more can be taken at once; after `false` the sender waits for `resume`. */
	readonly onData: (chunk: Buffer) => boolean;
	readonly onEnd: () => void;
	/** @param wasSent - Whether any part of the request may have reached the upstream. */
	readonly onFail: (error: Error, wasSent: boolean) => void;
};

/** A request on its way. */
export type RunningSend = {
	/**
	Gives the request up and closes its connection, unless it has ended.
	@param isFault - Whether the upstream is at fault.
	*/
	readonly abort: (reason: Error, isFault: boolean) => void;
	readonly resume: () => void;
};

/** What is sent to an upstream. */
export type UpstreamMessage = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	/** Names and values in turn. */
	readonly headers: string[];
	readonly body: Buffer | undefined;
};

/** Connections to one upstream. */
export type UpstreamLink = {
	readonly send: (message: UpstreamMessage, listener: AnswerListener) => RunningSend;
	/** Closes idle connections now and the others with their requests. */
	readonly close: () => void;
};
