import {type ClearedEntry} from './cleared-entry.js';
import {type CondemnedParts} from './condemned-parts.js';
import {poisonLimits} from './poison-limits.js';

/** Remembers which entries of the list of condemned parts were cleared. */
type ClearedEntries = {
	/** Clears parts in all entries that have them; returns whether that is new of one of them. */
	readonly clear: (entries: readonly CondemnedParts[], parts: readonly string[]) => boolean;
	/** Adds what other hosts have cleared; returns the parts of which it is new. */
	readonly add: (entries: readonly ClearedEntry[]) => readonly string[];
	/** Returns the entries without their cleared parts; those without other parts are left out. */
	readonly apply: (entries: readonly CondemnedParts[]) => readonly CondemnedParts[];
	/** Returns what was cleared in entries whose refusal has not ended, and forgets the others. */
	readonly list: (now: number) => readonly ClearedEntry[];
};

const getId = ({parts, workspace, until}: Pick<CondemnedParts, 'parts' | 'workspace' | 'until'>): string => JSON.stringify([parts.toSorted(), workspace, until]);

/**
Creates the memory. An entry is known by the end of its refusal too, so that parts which are condemned again are refused again, and no clocks of
hosts are compared.
*/
export function createClearedEntries(): ClearedEntries {
	const known = new Map<string, ClearedEntry>();

	/** Returns the parts that were not known to be cleared. */
	const record = ({parts, workspace, until, cleared}: ClearedEntry): readonly string[] => {
		const id = getId({parts, workspace, until});
		const before = known.get(id)?.cleared ?? [];
		const added = cleared.filter(part => !before.includes(part));
		if (added.length > 0) {
			known.set(id, {
				parts, workspace, until, cleared: [...before, ...added],
			});
		}

		return added;
	};

	return {
		clear: (entries, parts) =>
			entries.flatMap(entry => record({...entry, cleared: entry.parts.filter(part => parts.includes(part))})).length > 0,
		add: entries => entries.flatMap(entry => record(entry)),
		apply: entries => entries.flatMap(entry => {
			const cleared = known.get(getId(entry))?.cleared ?? [];
			const parts = entry.parts.filter(part => !cleared.includes(part));
			return parts.length === 0 ? [] : [parts.length === entry.parts.length ? entry : {...entry, parts}];
		}),
		list(now) {
			for (const [id, {until}] of known) {
				if (until <= now) {
					known.delete(id);
				}
			}

			return [...known.values()].toSorted((a, b) => b.until - a.until).slice(0, poisonLimits.maxCondemned);
		},
	};
}
