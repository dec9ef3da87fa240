/** What a check of a configuration needs beside the decoded one. */
export type ConfigurationDetails = {
	/** Values that the gateway reads but replaces by a default, with their paths in the stored object. */
	readonly faults: ReadonlyArray<{readonly path: ReadonlyArray<string | number>; readonly message: string}>;
	/** For each service, how long its upstreams are cold after a start, and the requests per second that a cold one tolerates. */
	readonly coldStarts: ReadonlyArray<{readonly coldStartS: number | undefined; readonly coldPerS: number | undefined}>;
	/** Turns the path of a decoded value into its path in the stored object. */
	readonly toWirePath: (path: ReadonlyArray<string | number>) => ReadonlyArray<string | number>;
};
