/** What a host knows of the stored objects, by kind; other hosts that know less ask it for the rest. */
export type StateStatus = {
	/** Newest epoch of the store of which this host has objects. */
	readonly epoch: number;
	/** Revision of the last known change in that epoch; 0 for kinds that are not yet known in it. */
	readonly changes: Readonly<Record<string, number>>;
	/** Sum of the versions of the objects' contents, for kinds whose objects have one. */
	readonly contentVersions: Readonly<Record<string, number>>;
};
