import {type HostReach} from '../decide/streams/host-reach.js';
import {type ClaimMessage} from '../claims/claim-message.js';
import {type StreamGroup} from '../streams/stream-group.js';
import {type KvStoreUpdate} from '../forwarding/kv-store-update.js';
import {type KnownHost} from './known-host.js';

/** Exchange of reports with the other hosts of the system. */
export type HostReportExchange = {
	/** Opens the socket, registers this host in the store and starts to send reports. */
	readonly start: () => Promise<void>;
	/** Returns the hosts with a recent report. */
	readonly alive: () => readonly KnownHost[];
	/** Returns the hosts that have reported within the last minute. */
	readonly listHeard: () => readonly KnownHost[];
	/** Returns all other hosts known from the store or a report. */
	readonly listOthers: () => readonly KnownHost[];
	/** Returns the hosts that were heard a moment ago and do not report that they do not hear this one. */
	readonly listInReach: () => readonly KnownHost[];
	/** Returns the hosts that are worth a call: those with a recent report; all that are known, where none has one. */
	readonly listReachable: () => readonly KnownHost[];
	/** Tells a host of streams that this one has begun. */
	readonly tellStreams: (host: KnownHost, streams: readonly StreamGroup[]) => void;
	/** Sends claims or quotes to the address for reports of another host. */
	readonly sendClaims: (message: ClaimMessage, address: string) => void;
	/** Reads the store again, then returns all other hosts known from the store or a report. */
	readonly refreshAndList: () => Promise<readonly KnownHost[]>;
	/** Returns the mean age of the known loads of other hosts, in milliseconds. */
	readonly reportAgeMs: () => number;
	/** Returns whether this host and the others hear each other. */
	readonly getReach: () => HostReach;
	/** Returns the number of hosts known from the store or a report, including this one. */
	readonly countHosts: () => number;
	/** Sends an update of a KV cache store to all hosts. */
	readonly publishKvUpdate: (update: KvStoreUpdate) => void;
	readonly stop: () => void;
};

