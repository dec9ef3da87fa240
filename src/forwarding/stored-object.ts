/** An object of the platform's store. */
export type StoredObject = {
	readonly name: string;
	/** Revision of the object's last change. */
	readonly revision: number;
	readonly value: unknown;
};
