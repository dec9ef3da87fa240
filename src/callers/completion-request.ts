import {type ModelService} from '../settings/model-service.js';

/** A checked completion request of a caller. */
export type CompletionRequest = {
	readonly requestId: string;
	readonly service: ModelService;
	readonly model: ModelService['models'][number];
	readonly workspace: {readonly name: string; readonly weight: number};
	readonly prompt: string;
	readonly maxTokens: number;
	/** The caller's hint which requests share context. */
	readonly promptCacheKey: string | undefined;
	readonly receivedAt: number;
	/** Latest time for the start of the answer. */
	readonly deadlineAt: number;
	/** Fires when the caller has gone. */
	readonly signal: AbortSignal;
};
