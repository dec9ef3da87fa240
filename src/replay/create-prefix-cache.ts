/** A cache of pieces that gives up the least recently used one. */
type PrefixCache = {
	readonly has: (key: string) => boolean;
	readonly touch: (key: string) => void;
	/** Leading keys that are cached. */
	readonly countCachedPrefix: (keys: readonly string[]) => number;
	readonly clear: () => void;
};

/** Creates a cache of `size` pieces. */
export function createPrefixCache(size: number): PrefixCache {
	const pieces = new Set<string>();
	return {
		has: key => pieces.has(key),
		touch(key) {
			pieces.delete(key);
			pieces.add(key);
			if (pieces.size > size) {
				const [oldest] = pieces;
				pieces.delete(oldest!);
			}
		},
		countCachedPrefix(keys) {
			const miss = keys.findIndex(key => !pieces.has(key));
			return miss === -1 ? keys.length : miss;
		},
		clear() {
			pieces.clear();
		},
	};
}
