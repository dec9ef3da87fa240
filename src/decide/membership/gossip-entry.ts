/** One entry of a gossip section. The higher version wins wherever two hosts differ. */
export type GossipEntry = {
	readonly id: string;
	readonly version: number;
	/** JSON value of the section's type. */
	readonly value: unknown;
	/** Wall-clock time after which the entry is dropped, in milliseconds; absent when it stays. */
	readonly expiresAt?: number;
};
