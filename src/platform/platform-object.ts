/** An object stored at the platform. */
export type PlatformObject = {
	readonly key: string;
	/** Increases with every write of this key; 0 means that the object is absent. */
	readonly version: number;
	readonly value: string;
};
