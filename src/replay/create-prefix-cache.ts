/** Set of cached pieces that evicts the least recently used one when it is full. */
type PrefixCache = {
	readonly has: (key: string) => boolean;
	/** Adds a piece or marks it as the most recently used. */
	readonly touch: (key: string) => void;
	/** Number of leading keys that are all cached. */
	readonly countCachedPrefix: (keys: readonly string[]) => number;
	readonly clear: () => void;
};

/** Creates a cache of at most `maxPieces` pieces. */
export function createPrefixCache(maxPieces: number): PrefixCache {
	const pieces = new Set<string>();
	return {
		has: key => pieces.has(key),
		touch(key) {
			pieces.delete(key);
			pieces.add(key);
			if (pieces.size > maxPieces) {
				const [oldest] = pieces;
				pieces.delete(oldest!);
			}
		},
		countCachedPrefix(keys) {
			const firstMiss = keys.findIndex(key => !pieces.has(key));
			return firstMiss === -1 ? keys.length : firstMiss;
		},
		clear() {
			pieces.clear();
		},
	};
}
