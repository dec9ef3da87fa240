import {type HostState} from './host-state.js';

/** What gossip says of a host. */
export type HostDescriptor = {
	readonly domain: string;
	readonly region: string;
	/** Peers' address, `IP:PORT`. */
	readonly peers: string;
	/** Operators' address, `IP:PORT`. */
	readonly operators: string;
	/** Start time of the process or of its last rejoin, in milliseconds. */
	readonly incarnation: number;
	readonly state: HostState;
};
