import {type GossipTable} from '../decide/membership/gossip-table.js';

/** Returns whether an operator has marked an upstream as leaving. */
export function isMarkedLeaving(gossip: GossipTable, upstream: string): boolean {
	const mark = gossip.get('marks', upstream)?.value as {readonly leaving: boolean} | undefined;
	return mark?.leaving ?? false;
}
