/** What the selection asks of a store. */
type SelectableStore = {
	/** Returns whether the store holds the complete part. */
	readonly has: (part: string) => boolean;
	/** Returns whether the store has room for that many tokens; one that has room for more has room for fewer. */
	readonly canSave: (tokens: number) => boolean;
};

/**
Returns the stores, in the same order, that a plan for these shared parts can come to use: those that hold one of them, and for each part the
first one with room. Load pattern: dozens of stores and engines, of which a prompt concerns a few; the plans for all engines of a prompt
ask only these.
*/
export function selectRelevantStores<S extends SelectableStore>(stores: readonly S[], parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>): readonly S[] {
	const relevant = new Set<S>();
	for (const {id, tokens} of parts) {
		const holders = stores.filter(store => store.has(id));
		const first = holders.length > 0 ? undefined : stores.find(store => store.canSave(tokens));
		for (const store of first ? [first] : holders) {
			relevant.add(store);
		}
	}

	return stores.filter(store => relevant.has(store));
}
