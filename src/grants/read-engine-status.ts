import {type GossipTable} from '../decide/membership/gossip-table.js';
import {type EngineStatus} from './engine-status.js';

/** Gives what an engine's owner last told of it; `undefined` before the first time. */
export function readEngineStatus(gossip: GossipTable, domain: string, engine: string): EngineStatus | undefined {
	return gossip.get(`engines/${domain}`, engine)?.value as EngineStatus | undefined;
}
