import {type GossipEntry} from './gossip-entry.js';

/** Sections of versioned entries, which hosts replicate by comparing digests and exchanging the sections that differ. */
export type GossipTable = {
	/** Returns the digest of all sections; hosts with equal digests have nothing to exchange. */
	readonly digest: (now: number) => string;
	/** Returns the digest of each section, by section name. */
	readonly vector: (now: number) => Readonly<Record<string, string>>;
	/** Returns the unexpired entries of a section. */
	readonly entries: (section: string, now: number) => readonly GossipEntry[];
	/** Returns an entry, which may have expired. */
	readonly get: (section: string, id: string) => GossipEntry | undefined;
	/**
	Stores the entries that are newer than the stored ones and have not expired.
	@returns The stored entries.
	*/
	readonly merge: (section: string, entries: readonly GossipEntry[], now: number) => readonly GossipEntry[];
};
