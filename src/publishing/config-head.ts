/** The one object that puts configuration in force. */
export type ConfigHead = {
	readonly revision: number;
	/** Digest of the text in force, by service. */
	readonly services: Readonly<Record<string, string>>;
	/** The newest publications, by which a publisher finds its own after a lost answer and names the winner of a race. */
	readonly recent: ReadonlyArray<{
		readonly revision: number;
		readonly nonce: string;
		readonly publisher: string;
		readonly services: readonly string[];
	}>;
};
