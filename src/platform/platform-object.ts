/** An object held by the platform. */
export type PlatformObject = {
	readonly key: string;
	/** Grows with every write of this key; 0 stands for an absent object. */
	readonly version: number;
	readonly value: string;
};
