import {type CondemnedParts} from './condemned-parts.js';

/** An entry of the list of condemned parts, and those of its parts with which a request has completed since. */
export type ClearedEntry = Pick<CondemnedParts, 'parts' | 'workspace' | 'until'> & {
	readonly cleared: readonly string[];
};
