import {type Prompt} from './prompt.js';

/** The head of a caller's request, decoded. */
export type CallerRequest = {
	/** The caller's own id of this attempt; `undefined` where it sent none. */
	readonly id: string | undefined;
	readonly method: string;
	/** Path and query as sent. */
	readonly target: string;
	readonly host: string;
	readonly key: string | undefined;
	/** How long the caller waits, in milliseconds. */
	readonly deadlineMs: number | undefined;
	/** The last event that the caller has, where it resumes a stream. */
	readonly resumeAfter: string | undefined;
	readonly prompt: Prompt | undefined;
	/** Names and values, in turn, that go on to the upstream unchanged. */
	readonly headers: readonly string[];
};
