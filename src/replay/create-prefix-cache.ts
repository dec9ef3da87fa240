/** A cache of pieces that gives up the least recently used one. */
type PrefixCache = {
	readonly has: (key: string) => boolean;
	readonly touch: (key: string) => void;
	/** Leading keys that are cached. */
	readonly countCachedPrefix: (keys: readonly string[]) => number;
	readonly clear: () => void;
};

/** Creates a cache of `size` pieces. */
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
