import {scorePieceRetention} from '../decide/context/score-piece-retention.js';
import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {createSampleSet} from '../util/create-sample-set.js';
import {type SampleSet} from '../util/sample-set.js';
import {type PieceIndex} from './piece-index.js';

const maxEnginesPerPiece = 3;
const unstoredRetentionMs = 3_600_000;
const sampleSize = 64;

/** Record of one piece: the engines that ran requests with it, its stored block and its use. */
type PieceEntry = {
	readonly key: string;
	/** Number of the index shard; stores list blocks by it. */
	readonly tag: number;
	readonly workspace: string;
	readonly tokens: number;
	readonly depth: number;
	readonly engines: readonly string[];
	readonly stored: StoredPiece | undefined;
	readonly uses: number;
	/** Time of the last use, in milliseconds. */
	readonly lastAt: number;
};

/**
Creates an empty piece index. Pieces to evict are chosen from a random sample, so the cost of an eviction does not grow with
the number of pieces.

@param computeTag - Returns the tag under which stores list a piece with this label.
@param random - Returns numbers from 0 to below 1.
*/
export function createPieceIndex(computeTag: (label: string) => number, random: () => number): PieceIndex {
	const entries = new Map<string, PieceEntry>();
	const keysByStore = new Map<string, SampleSet<string>>();
	const storedBytes = new Map<string, number>();

	const storedKeysOf = (store: string): SampleSet<string> => {
		const keys = keysByStore.get(store) ?? createSampleSet<string>();
		keysByStore.set(store, keys);
		return keys;
	};

	/** Adds an entry's stored bytes to its workspace's total, or subtracts them. */
	const countBytes = ({workspace, stored}: PieceEntry, sign: 1 | -1): void => {
		if (stored) {
			const accountKey = `${stored.store}\n${workspace}`;
			storedBytes.set(accountKey, (storedBytes.get(accountKey) ?? 0) + (sign * stored.bytes));
		}
	};

	const remove = (key: string): void => {
		const known = entries.get(key);
		if (known) {
			countBytes(known, -1);
			entries.delete(key);
		}

		if (known?.stored) {
			storedKeysOf(known.stored.store).delete(key);
		}
	};

	const put = (entry: PieceEntry): void => {
		const known = entries.get(entry.key);
		if (known) {
			countBytes(known, -1);
		}

		if (known?.stored && known.stored.store !== entry.stored?.store) {
			storedKeysOf(known.stored.store).delete(entry.key);
		}

		if (entry.stored) {
			storedKeysOf(entry.stored.store).add(entry.key);
		}

		countBytes(entry, 1);
		entries.set(entry.key, entry);
	};

	const computeScore = (entry: PieceEntry, now: number): number => scorePieceRetention({
		uses: entry.uses,
		ageMs: now - entry.lastAt,
		tokens: entry.tokens,
		bytes: entry.stored?.bytes ?? 1,
		depth: entry.depth,
	});

	return {
		lookup(key, now) {
			const entry = entries.get(key);
			if (!entry) {
				return undefined;
			}

			entries.set(key, {...entry, uses: entry.uses + 1, lastAt: now});
			return {
				key, engines: entry.engines, uses: entry.uses, ...(entry.stored ? {stored: entry.stored} : {}),
			};
		},
		add({key, label, workspace, tokens, depth, engine, stored, lost}, now) {
			const known = entries.get(key);
			const engines = engine === undefined ? known?.engines ?? [] : [engine, ...(known?.engines ?? []).filter(name => name !== engine)];
			put({
				key,
				tag: computeTag(label),
				workspace,
				tokens,
				depth,
				engines: engines.slice(0, maxEnginesPerPiece),
				stored: lost ? undefined : stored ?? known?.stored,
				uses: known?.uses ?? 1,
				lastAt: now,
			});
		},
		applyListing(store, listed, now) {
			for (const {key, tag, block, generation, checksum, bytes: size, state} of listed) {
				const known = entries.get(key);
				const isSame = known?.stored?.store === store && known.stored.block === block;
				if (state === 'sealed') {
					// A listing has no workspace, tokens or depth; an unknown piece gets defaults until its next update.
					put({
						key,
						tag,
						workspace: known?.workspace ?? '',
						tokens: known?.tokens ?? 1000,
						depth: known?.depth ?? 0,
						engines: known?.engines ?? [],
						uses: known?.uses ?? 1,
						lastAt: known?.lastAt ?? now,
						stored: {
							key, store, block, generation, checksum, bytes: size,
						},
					});
				} else if (known && isSame) {
					put({...known, stored: undefined});
				}
			}
		},
		dropStore(store) {
			for (const entry of entries.values()) {
				if (entry.stored?.store === store) {
					put({...entry, stored: undefined});
				}
			}
		},
		retainShards(isOwn) {
			for (const entry of entries.values()) {
				if (!isOwn(entry.tag)) {
					remove(entry.key);
				}
			}
		},
		removeExpired(now) {
			for (const entry of entries.values()) {
				if (!entry.stored && now - entry.lastAt >= unstoredRetentionMs) {
					remove(entry.key);
				}
			}
		},
		takeLeastValuable(store, maxScore, count, now) {
			const sample = [...new Set(storedKeysOf(store).draw(sampleSize, random))].map(key => entries.get(key)!);
			const leastValuable = sample
				.map(entry => ({entry, score: computeScore(entry, now)}))
				.filter(scored => scored.score < maxScore)
				.toSorted((a, b) => a.score - b.score)
				.slice(0, count);
			for (const {entry} of leastValuable) {
				put({...entry, stored: undefined});
			}

			return leastValuable.map(({entry}) => entry.stored!);
		},
		workspaceBytes: (store, workspace) => storedBytes.get(`${store}\n${workspace}`) ?? 0,
		size: () => entries.size,
	};
}
