/** What a host knows when it asks another one for newer stored objects. Hosts of an earlier build state revisions only. */
export type StateQuery = {
	/** Epoch of the revisions. */
	readonly epoch?: number;
	/** Revision of the objects in that epoch, by kind; 0 for kinds that are not yet known in it. */
	readonly revisions: Readonly<Record<string, number>>;
	/** Sum of the versions of the objects' contents, by kind. */
	readonly contentVersions?: Readonly<Record<string, number>>;
};
