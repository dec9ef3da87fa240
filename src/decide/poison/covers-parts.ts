import {type CondemnedParts} from './condemned-parts.js';

/** The requests that a condemned set of parts refuses. */
type Refusal = Pick<CondemnedParts, 'parts' | 'workspace'>;

/** Returns whether `general` refuses each request that `special` refuses: fewer parts refuse more requests. */
export function coversParts(general: Refusal, special: Refusal): boolean {
	return general.parts.every(part => special.parts.includes(part)) && (general.workspace === undefined || general.workspace === special.workspace);
}
