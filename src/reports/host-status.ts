import {type WeightAge} from '../decide/weights/weight-age.js';
import {type StateStatus} from '../object-store/state-status.js';

/** The part of a host's report that describes the host itself. */
export type HostStatus = StateStatus & {
	readonly host: string;
	/** Failure domain of the host. */
	readonly domain: string;
	/** Address for RPC calls of other hosts, `IP:PORT`. */
	readonly peers: string;
	/** Address for reports to this host, `IP:PORT`. */
	readonly reports: string;
	/** Bandwidth of the host's network link, in Mbit/s. */
	readonly linkMbps: number;
	/** Interval at which each receiver gets this host's status, in milliseconds. */
	readonly everyMs: number;
	/** Whether the store does not respond to the host. */
	readonly isStoreLost: boolean;
	/** Services of which the host can reach no upstream. Hosts of an earlier build state none. */
	readonly lostServices?: readonly string[];
	/** Hosts that have fallen silent for this one. Hosts of an earlier build state none. */
	readonly unheard?: readonly string[] | undefined;
	/** Whether the host counts the attempts of requests that others hand on to it. Hosts of an earlier build don't. */
	readonly countsAttempts?: boolean;
	/** Whether the host shares KV cache by groups of workspaces (`KvSharing`). Hosts of an earlier build don't. */
	readonly sharesKvByGroup?: boolean;
	/** Whether the host claims places at upstreams and keeps ledgers of claims. Hosts of an earlier build don't. */
	readonly claimsPlaces?: boolean;
	/** Time since the store last confirmed the newest desired weights, in milliseconds; `undefined` when it never did. */
	readonly weightsAgeMs: number | undefined;
	/** The same for the list of upstreams. Hosts of an earlier build state none. */
	readonly upstreamsAgeMs?: number | undefined;
	/** For how long versions of weights have been the desired ones, as far as the host knows and it may matter. Hosts of an earlier build state none. */
	readonly weightAges?: readonly WeightAge[] | undefined;
};
