import {type UpstreamRequest} from '../../forwarding/upstream-request.js';

/** After this many refusals with an id, a connection is closed rather than remember more of them. */
const maxRefusedIds = 64;

/** The refusals that one connection has carried. */
export type RefusalHistory = {
	/** Records a response which states that its request was not run. */
	readonly record: (requestId: string | undefined) => void;
	/** Returns whether a refusal of a request that is sent now could be told from a copy of an earlier one. */
	readonly canCarry: (request: Pick<UpstreamRequest, 'id'>) => boolean;
	/** Returns whether the connection carries no further request. */
	readonly isSpent: () => boolean;
	/** Forgets the refusals of a connection that has ended. */
	readonly clear: () => void;
};

/**
Creates the history of a connection's refusals. Fault pattern: an upstream writes an earlier refusal once more on a kept connection. A
refusal proves that a request was not run only if the connection has not carried one before that could be its copy: with the same id, or
without any.
*/
export function createRefusalHistory(): RefusalHistory {
	const refusedIds = new Set<string>();
	let hasUnnamed = false;
	return {
		record(requestId) {
			if (requestId === undefined) {
				hasUnnamed = true;
			} else {
				refusedIds.add(requestId);
			}
		},
		canCarry: ({id}) => !refusedIds.has(id) && !hasUnnamed,
		isSpent: () => hasUnnamed || refusedIds.size >= maxRefusedIds,
		clear() {
			refusedIds.clear();
			hasUnnamed = false;
		},
	};
}
