import {hashTo48Bits} from '../../util/hash-to-48-bits.js';
import {type GossipEntry} from './gossip-entry.js';
import {type GossipTable} from './gossip-table.js';

/** Creates an empty gossip table. */
export function createGossipTable(): GossipTable {
	const sections = new Map<string, Map<string, GossipEntry>>();
	const digests = new Map<string, string>();

	const prune = (section: string, now: number): void => {
		const entries = sections.get(section);
		for (const entry of entries?.values() ?? []) {
			if (entry.expiresAt !== undefined && entry.expiresAt <= now) {
				entries!.delete(entry.id);
				digests.delete(section);
			}
		}

		if (entries?.size === 0) {
			sections.delete(section);
		}
	};

	const list = (section: string, now: number): readonly GossipEntry[] => {
		prune(section, now);
		return [...sections.get(section)?.values() ?? []];
	};

	const digestOf = (section: string, now: number): string => {
		prune(section, now);
		const known = digests.get(section);
		if (known !== undefined) {
			return known;
		}

		const text = list(section, now).map(entry => `${entry.id}=${entry.version}`).toSorted().join('\n');
		const fresh = hashTo48Bits(text).toString(36);
		digests.set(section, fresh);
		return fresh;
	};

	const vector = (now: number): Readonly<Record<string, string>> => {
		const pairs = [...sections.keys()].map(section => [section, digestOf(section, now)] as const);
		return Object.fromEntries(pairs.filter(([section]) => sections.has(section)));
	};

	return {
		vector,
		entries: list,
		digest(now) {
			const text = Object.entries(vector(now)).map(([section, value]) => `${section}=${value}`).toSorted().join('\n');
			return hashTo48Bits(text).toString(36);
		},
		get: (section, id) => sections.get(section)?.get(id),
		merge(section, entries, now) {
			const own = sections.get(section) ?? new Map<string, GossipEntry>();
			const taken = entries.filter(entry =>
				entry.version > (own.get(entry.id)?.version ?? -1)
				&& (entry.expiresAt === undefined || entry.expiresAt > now));
			for (const entry of taken) {
				own.set(entry.id, entry);
			}

			if (taken.length > 0) {
				sections.set(section, own);
				digests.delete(section);
			}

			return taken;
		},
	};
}
