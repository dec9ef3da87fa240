/** The single object that determines the configuration in force. */
export type ConfigHead = {
	readonly revision: number;
	/** Digest of each service's text in force, by service name. */
	readonly services: Readonly<Record<string, string>>;
	/** The newest publications. A publisher finds its own here after a lost response, and the winner after a conflict. */
	readonly recent: ReadonlyArray<{
		readonly revision: number;
		readonly nonce: string;
		readonly publisher: string;
		readonly services: readonly string[];
	}>;
};
