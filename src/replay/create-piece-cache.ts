/** A cache of pieces that gives up the least recently used one. */
type PieceCache = {
	readonly has: (key: string) => boolean;
	readonly use: (key: string) => void;
	/** Leading keys that are cached. */
	readonly prefix: (keys: readonly string[]) => number;
	readonly clear: () => void;
};

/** Creates a cache of `size` pieces. */
export function createPieceCache(size: number): PieceCache {
	const pieces = new Set<string>();
	return {
		has: key => pieces.has(key),
		use(key) {
			pieces.delete(key);
			pieces.add(key);
			if (pieces.size > size) {
				const [oldest] = pieces;
				pieces.delete(oldest!);
			}
		},
		prefix(keys) {
			const miss = keys.findIndex(key => !pieces.has(key));
			return miss === -1 ? keys.length : miss;
		},
		clear() {
			pieces.clear();
		},
	};
}
