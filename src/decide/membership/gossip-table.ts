import {type GossipEntry} from './gossip-entry.js';

/** Sections of versioned entries that all hosts bring to agreement by comparing digests. */
export type GossipTable = {
	/** Digest of all sections; equal digests mean that nothing has to be exchanged. */
	readonly digest: (now: number) => string;
	/** Digest by section. */
	readonly vector: (now: number) => Readonly<Record<string, string>>;
	readonly entries: (section: string, now: number) => readonly GossipEntry[];
	readonly get: (section: string, id: string) => GossipEntry | undefined;
	/**
	Takes over entries that are newer than the own ones.
	@returns The entries taken over.
	*/
	readonly merge: (section: string, entries: readonly GossipEntry[], now: number) => readonly GossipEntry[];
};
