import {type GossipTable} from '../decide/membership/gossip-table.js';
import {type EngineStatus} from './engine-status.js';

/** Returns the status that an engine's owner last published; `undefined` before the first. */
export function readEngineStatus(gossip: GossipTable, domain: string, engine: string): EngineStatus | undefined {
	return gossip.get(`engines/${domain}`, engine)?.value as EngineStatus | undefined;
}
