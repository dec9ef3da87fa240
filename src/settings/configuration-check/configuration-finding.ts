/** Something that a check of a configuration found. */
export type ConfigurationFinding = {
	readonly category: 'error' | 'never-matches' | 'contradiction' | 'change';
	/** Path of the field in the decoded configuration. */
	readonly path: ReadonlyArray<string | number>;
	readonly message: string;
	/** Whether the path is one of the configuration in force, as the field is gone from the checked one. */
	readonly isRemoved?: boolean;
};
