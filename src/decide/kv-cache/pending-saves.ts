/** Saves that this host has requested and that the store's events have not shown yet. Times are in milliseconds. */
export type PendingSaves = {
	/** Adds a save that is requested now. */
	readonly record: (scope: string, part: string, tokens: number, now: number) => void;
	/** Returns whether a save of the part is pending. */
	readonly has: (scope: string, part: string, now: number) => boolean;
	/** Removes the saves that are stored or lost; returns the number of tokens still pending. */
	readonly sweep: (isStored: (scope: string, part: string) => boolean, now: number) => number;
	/** Returns whether a save was found lost since the last call. */
	readonly consumeLossFlag: () => boolean;
};
