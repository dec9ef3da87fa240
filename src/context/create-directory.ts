import {pieceValue} from '../decide/context/piece-value.js';
import {type StoredPiece} from '../decide/routing/stored-piece.js';
import {type Directory} from './directory.js';

const keptEngines = 3;
const forgetUnstoredMs = 3_600_000;
const sampleSize = 512;

/** A piece with its use. */
type Entry = {
	readonly key: string;
	readonly tag: number;
	readonly workspace: string;
	readonly tokens: number;
	readonly depth: number;
	readonly engines: readonly string[];
	readonly stored: StoredPiece | undefined;
	readonly uses: number;
	readonly lastAt: number;
};

/** Creates an empty directory. */
export function createDirectory(tagOf: (label: string) => number): Directory {
	const entries = new Map<string, Entry>();

	const put = (entry: Entry): void => {
		// Deleting first keeps the map in order of use, oldest first.
		entries.delete(entry.key);
		entries.set(entry.key, entry);
	};

	const valueOf = (entry: Entry, now: number): number => pieceValue({
		uses: entry.uses,
		ageMs: now - entry.lastAt,
		tokens: entry.tokens,
		bytes: entry.stored?.bytes ?? 1,
		depth: entry.depth,
	});

	const dropOldUnstored = (now: number): void => {
		for (const entry of entries.values()) {
			if (now - entry.lastAt < forgetUnstoredMs) {
				return;
			}

			if (!entry.stored) {
				entries.delete(entry.key);
			}
		}
	};

	return {
		lookup(key, now) {
			const entry = entries.get(key);
			if (!entry) {
				return undefined;
			}

			put({...entry, uses: entry.uses + 1, lastAt: now});
			return {key, engines: entry.engines, ...(entry.stored ? {stored: entry.stored} : {})};
		},
		add({key, label, workspace, tokens, depth, engine, stored, lost}, now) {
			const known = entries.get(key);
			const engines = engine === undefined ? known?.engines ?? [] : [engine, ...(known?.engines ?? []).filter(name => name !== engine)];
			put({
				key,
				tag: tagOf(label),
				workspace,
				tokens,
				depth,
				engines: engines.slice(0, keptEngines),
				stored: lost ? undefined : stored ?? known?.stored,
				uses: known?.uses ?? 1,
				lastAt: now,
			});
			dropOldUnstored(now);
		},
		list(store, listed, now) {
			for (const {key, tag, block, generation, checksum, bytes, state} of listed) {
				const known = entries.get(key);
				const isSame = known?.stored?.store === store && known.stored.block === block;
				if (state === 'sealed') {
					put({
						key, tag, workspace: known?.workspace ?? '', tokens: known?.tokens ?? 1000, depth: known?.depth ?? 0,
						engines: known?.engines ?? [], uses: known?.uses ?? 1, lastAt: known?.lastAt ?? now,
						stored: {
							key, store, block, generation, checksum, bytes,
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
					entries.set(entry.key, {...entry, stored: undefined});
				}
			}
		},
		keepSlices(isOwn) {
			for (const entry of entries.values()) {
				if (!isOwn(entry.tag)) {
					entries.delete(entry.key);
				}
			}
		},
		takeLeast(store, value, count, now) {
			const sample: Entry[] = [];
			for (const entry of entries.values()) {
				if (entry.stored?.store === store) {
					sample.push(entry);
				}

				if (sample.length === sampleSize) {
					break;
				}
			}

			const least = sample
				.map(entry => ({entry, value: valueOf(entry, now)}))
				.filter(scored => scored.value < value)
				.toSorted((a, b) => a.value - b.value)
				.slice(0, count);
			for (const {entry} of least) {
				entries.set(entry.key, {...entry, stored: undefined});
			}

			return least.map(({entry}) => entry.stored!);
		},
		workspaceBytes(workspace) {
			let bytes = 0;
			for (const entry of entries.values()) {
				bytes += entry.workspace === workspace ? entry.stored?.bytes ?? 0 : 0;
			}

			return bytes;
		},
		size: () => entries.size,
	};
}
