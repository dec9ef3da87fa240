import {type PlainService} from '../settings/plain-service.js';

/** A validated request to a plain service. */
export type PlainRequest = {
	readonly requestId: string;
	readonly service: PlainService;
	/** Name of the caller's workspace. */
	readonly workspace: string;
	readonly method: PlainService['routes'][number]['method'];
	/** Path and query after the service name. */
	readonly path: string;
	/** Whether the request may be sent more than once. */
	readonly isRepeatable: boolean;
	readonly idempotencyKey: string | undefined;
	readonly contentType: string;
	readonly body: string;
	/** Deadline of the request, in milliseconds since the epoch. */
	readonly deadlineAt: number;
	readonly signal: AbortSignal;
};
