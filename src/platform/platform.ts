import {type ListedHost} from './listed-host.js';
import {type PlatformObject} from './platform-object.js';

/** Client of the platform's object API. Every function may throw `PlatformUnavailableError`. */
export type Platform = {
	/** Reads an object; `undefined` when absent. */
	readonly read: (key: string) => Promise<PlatformObject | undefined>;
	/**
	Writes `value` if the object's version is still `expected` (0: absent).
	@returns The new version, or `undefined` when the version had changed.
	*/
	readonly write: (key: string, value: string, expected: number) => Promise<number | undefined>;
	/** Waits until the object's version exceeds `after`; `undefined` when it does not within `waitMs`. */
	readonly watch: (key: string, after: number, waitMs: number) => Promise<PlatformObject | undefined>;
	/** Lists keys that begin with `prefix`. */
	readonly list: (prefix: string) => Promise<readonly string[]>;
	/** Returns the platform's list of hosts, which may lag behind. */
	readonly hosts: () => Promise<readonly ListedHost[]>;
};
