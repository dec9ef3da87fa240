import {type Gossip} from '../decide/membership/gossip.js';
import {type EngineStatus} from './engine-status.js';

/** Gives what an engine's owner last told of it; `undefined` before the first time. */
export function readEngineStatus(gossip: Gossip, domain: string, engine: string): EngineStatus | undefined {
	return gossip.get(`engines/${domain}`, engine)?.value as EngineStatus | undefined;
}
