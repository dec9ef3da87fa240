import {poisonLimits} from './poison-limits.js';

/** Remembers when a request with each part of prompts completed last, for the parts used most recently. */
type CompletedParts = {
	readonly record: (parts: readonly string[], now: number) => void;
	/** Returns the parts under which no request has completed since `since`. */
	readonly listNotCompletedSince: (parts: readonly string[], since: number) => readonly string[];
};

/** Creates the memory. A part under which a request completed while another one with it ran crashes no upstreams. */
export function createCompletedParts(): CompletedParts {
	const completedAt = new Map<string, number>();
	return {
		record(parts, now) {
			for (const part of parts) {
				completedAt.delete(part);
				completedAt.set(part, now);
			}

			for (const part of completedAt.keys()) {
				if (completedAt.size <= poisonLimits.maxCompletedParts) {
					return;
				}

				completedAt.delete(part);
			}
		},
		listNotCompletedSince: (parts, since) => parts.filter(part => (completedAt.get(part) ?? Number.NEGATIVE_INFINITY) < since),
	};
}
