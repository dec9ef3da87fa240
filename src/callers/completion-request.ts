import {type ModelService} from '../settings/model-service.js';

/** A validated completion request. */
export type CompletionRequest = {
	readonly requestId: string;
	readonly service: ModelService;
	readonly model: ModelService['models'][number];
	readonly workspace: {readonly name: string; readonly weight: number};
	readonly prompt: string;
	readonly maxTokens: number;
	/** The caller's key for requests that share a prompt prefix. */
	readonly promptCacheKey: string | undefined;
	/** Time of arrival, in milliseconds since the epoch. */
	readonly receivedAt: number;
	/** Time by which the response must start, in milliseconds since the epoch. */
	readonly deadlineAt: number;
	/** Aborted when the caller closes the connection. */
	readonly signal: AbortSignal;
};
