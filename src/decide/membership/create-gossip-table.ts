import {hashTo48Bits} from '../../util/hash-to-48-bits.js';
import {type GossipEntry} from './gossip-entry.js';
import {type GossipTable} from './gossip-table.js';

/** Creates an empty gossip table. */
export function createGossipTable(): GossipTable {
	const sections = new Map<string, Map<string, GossipEntry>>();
	const digests = new Map<string, string>();

	const removeExpired = (section: string, now: number): void => {
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

	const listEntries = (section: string, now: number): readonly GossipEntry[] => {
		removeExpired(section, now);
		return [...sections.get(section)?.values() ?? []];
	};

	const getDigest = (section: string, now: number): string => {
		removeExpired(section, now);
		const cached = digests.get(section);
		if (cached !== undefined) {
			return cached;
		}

		const text = listEntries(section, now).map(entry => `${entry.id}=${entry.version}`).toSorted().join('\n');
		const computed = hashTo48Bits(text).toString(36);
		digests.set(section, computed);
		return computed;
	};

	const vector = (now: number): Readonly<Record<string, string>> => {
		const pairs = [...sections.keys()].map(section => [section, getDigest(section, now)] as const);
		return Object.fromEntries(pairs.filter(([section]) => sections.has(section)));
	};

	return {
		vector,
		entries: listEntries,
		digest(now) {
			const text = Object.entries(vector(now)).map(([section, value]) => `${section}=${value}`).toSorted().join('\n');
			return hashTo48Bits(text).toString(36);
		},
		get: (section, id) => sections.get(section)?.get(id),
		merge(section, entries, now) {
			const current = sections.get(section) ?? new Map<string, GossipEntry>();
			const accepted = entries.filter(entry =>
				entry.version > (current.get(entry.id)?.version ?? -1)
				&& (entry.expiresAt === undefined || entry.expiresAt > now));
			for (const entry of accepted) {
				current.set(entry.id, entry);
			}

			if (accepted.length > 0) {
				sections.set(section, current);
				digests.delete(section);
			}

			return accepted;
		},
	};
}
