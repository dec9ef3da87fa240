import {type HostState} from './host-state.js';

/** A host as described by gossip. */
export type HostDescriptor = {
	/** Failure domain. */
	readonly domain: string;
	readonly region: string;
	/** Address of the server for peers, `IP:PORT`. */
	readonly peers: string;
	/** Address of the server for operators, `IP:PORT`. */
	readonly operators: string;
	/** Start time of the process, replaced by a later time at each rejoin and refutation, in milliseconds. */
	readonly incarnation: number;
	readonly state: HostState;
};
