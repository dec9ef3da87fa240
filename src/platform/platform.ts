import {type ListedHost} from './listed-host.js';
import {type PlatformObject} from './platform-object.js';

/** The platform's object API as the system uses it. Every function may throw `PlatformUnavailableError`. */
export type Platform = {
	/** Reads an object; `undefined` when absent. */
	readonly read: (key: string) => Promise<PlatformObject | undefined>;
	/**
	Writes `value` if the object's version still is `expected` (0: absent).
	@returns The new version, or `undefined` when the version had changed.
	*/
	readonly write: (key: string, value: string, expected: number) => Promise<number | undefined>;
	/** Waits until the object's version passes `after`; `undefined` when `waitMs` goes by. */
	readonly watch: (key: string, after: number, waitMs: number) => Promise<PlatformObject | undefined>;
	/** Lists keys that begin with `prefix`. */
	readonly list: (prefix: string) => Promise<readonly string[]>;
	/** Gives the lagging list of hosts. */
	readonly hosts: () => Promise<readonly ListedHost[]>;
};
