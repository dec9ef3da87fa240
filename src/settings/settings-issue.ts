/** A problem in a settings or service file. */
export type SettingsIssue = {
	readonly file: string;
	/** Line number, from 1. */
	readonly line: number;
	/** Path of the invalid value, such as `upstreams[0].url`. */
	readonly path: string;
	readonly message: string;
};
