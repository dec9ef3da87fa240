/** One entry of a gossip section. When two hosts have different versions of an entry, the higher one replaces the other. */
export type GossipEntry = {
	readonly id: string;
	readonly version: number;
	/** JSON value; its type depends on the section. */
	readonly value: unknown;
	/** Wall-clock time at which the entry is dropped, in milliseconds; absent when it never expires. */
	readonly expiresAt?: number;
};
