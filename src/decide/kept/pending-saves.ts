/** Saves that a host has asked for and that the store has not shown yet. Times are in milliseconds. */
export type PendingSaves = {
	readonly record: (scope: string, part: string, tokens: number, now: number) => void;
	/** Whether a save of the part is under way. */
	readonly has: (scope: string, part: string, now: number) => boolean;
	/** Drops what the store holds by now and what is taken for lost; gives the tokens still under way. */
	readonly sweep: (isStored: (scope: string, part: string) => boolean, now: number) => number;
	/** Whether a save has been taken for lost since the last call. */
	readonly consumeLossFlag: () => boolean;
};
