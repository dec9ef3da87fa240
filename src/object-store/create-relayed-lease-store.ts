import {isDeepStrictEqual} from 'node:util';
import {log} from '../observe/log.js';
import {type PeerMethods} from '../peers/peer-methods.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {sleep} from '../util/sleep.js';
import {type KnownHost} from '../reports/known-host.js';
import {type EpochTracker} from './epoch-tracker.js';
import {type LeaseStore} from './lease-store.js';
import {type StorePosition} from './store-position.js';
import {type StoredObject} from './stored-object.js';

/** Time after which a call without a response also goes through a peer; the store usually responds within milliseconds. */
const relayAfterMs = 200;
/** Timeout of a call through a peer. */
const peerTimeoutMs = 600;

/** Dependencies of the relayed lease store. */
type RelayedLeaseStoreOptions = {
	/** Access to the store from this host. */
	readonly direct: LeaseStore;
	readonly recordEpoch: EpochTracker['record'];
	/** Calls a peer. */
	readonly call: PeerRpc;
	/** Hosts that this host currently receives reports from. */
	readonly alive: () => readonly KnownHost[];
	readonly random: () => number;
};

/** A write of the lease as it is sent to a peer. */
type LeaseWrite = NonNullable<PeerMethods['gateway.lease']['params']['write']>;

/** Builds the message field by field: `expected` may be a whole object, whose value is not the one to write. */
function toLeaseWrite(value: unknown, expected: StorePosition | undefined): LeaseWrite {
	return expected ? {value, revision: expected.revision, epoch: expected.epoch} : {value, revision: 0};
}

/**
Creates access to the lease object that falls back to a peer when the store does not respond to this host, so that a holder
partitioned from the store alone keeps its lease. A write may then reach the store twice; the conditional update lets only one
of the two succeed, and a stored value equal to the one written counts as success.
*/
export function createRelayedLeaseStore({direct, recordEpoch, call, alive, random}: RelayedLeaseStoreOptions): LeaseStore {
	const pickPeer = (): string | undefined => {
		const peers = alive();
		return peers[Math.floor(random() * peers.length)]?.peers;
	};

	/** Calls the store directly and, if it fails or is late, also through a peer; returns the first success. */
	const hedge = async <T>(direct: () => Promise<T>, relayed: (address: string) => Promise<T>): Promise<T> => {
		const first = direct();
		const late = Symbol('late');
		const earlyResult = await Promise.race([first.catch(() => late), sleep(relayAfterMs).then(() => late)]);
		const address = pickPeer();
		if (earlyResult !== late || address === undefined) {
			return first;
		}

		try {
			return await Promise.any([first, relayed(address)]);
		} catch (error) {
			const [cause] = error instanceof AggregateError ? error.errors as Error[] : [error as Error];
			throw cause ?? new Error('no answer');
		}
	};

	/** @throws {OlderEpochError} When the peer read the object before the store came back from an older copy. */
	const recordEpochOf = (object: StoredObject | null): StoredObject | undefined => object ? {...object, epoch: recordEpoch(object.epoch)} : undefined;

	const read: LeaseStore['read'] = async () => hedge(direct.read, async address => {
		const {object} = await call(address, 'gateway.lease', {}, {timeoutMs: peerTimeoutMs});
		return recordEpochOf(object);
	});

	return {
		epoch: direct.epoch,
		read,
		async write(value, expected) {
			const written = await hedge<StoredObject | undefined>(async () => direct.write(value, expected), async address => {
				log.info({peer: address, revision: expected?.revision ?? 0}, 'writing the lease through a peer');
				const {object} = await call(address, 'gateway.lease', {write: toLeaseWrite(value, expected)}, {timeoutMs: peerTimeoutMs});
				return recordEpochOf(object);
			});
			if (written) {
				return written;
			}

			const found = await read();
			return found && isDeepStrictEqual(found.value, value) ? found : undefined;
		},
	};
}
