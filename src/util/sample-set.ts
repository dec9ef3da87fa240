/** A set from which random members can be drawn in constant time. */
export type SampleSet<T> = {
	readonly add: (item: T) => void;
	readonly delete: (item: T) => void;
	/** Draws `count` members with replacement; none when the set is empty. */
	readonly draw: (count: number, random: () => number) => readonly T[];
	readonly size: () => number;
};
