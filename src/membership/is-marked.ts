import {type Gossip} from '../decide/membership/gossip.js';

/** Says whether an operator has marked an upstream as leaving. */
export function isMarked(gossip: Gossip, upstream: string): boolean {
	const mark = gossip.get('marks', upstream)?.value as {readonly leaving: boolean} | undefined;
	return mark?.leaving ?? false;
}
