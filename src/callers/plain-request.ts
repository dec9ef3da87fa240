import {type PlainService} from '../settings/plain-service.js';

/** A checked request of a caller to a plain service. */
export type PlainRequest = {
	readonly requestId: string;
	readonly service: PlainService;
	readonly workspace: string;
	readonly method: PlainService['routes'][number]['method'];
	/** Path and query behind the service's name. */
	readonly path: string;
	readonly isRepeatable: boolean;
	readonly idempotencyKey: string | undefined;
	readonly contentType: string;
	readonly body: string;
	readonly deadlineAt: number;
	readonly signal: AbortSignal;
};
