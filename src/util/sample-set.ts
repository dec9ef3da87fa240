/** A set from which random members can be drawn at constant cost. */
export type SampleSet<T> = {
	readonly add: (item: T) => void;
	readonly delete: (item: T) => void;
	/** Draws up to `count` members; some may come twice. */
	readonly draw: (count: number, random: () => number) => readonly T[];
	readonly size: () => number;
};
