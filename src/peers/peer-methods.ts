import {type UpstreamOpinion} from '../poison/upstream-opinion.js';
import {type ColdPermitRequest} from '../announcements/cold-permit-request.js';
import {type PermitRequest} from '../announcements/permit-request.js';
import {type PermitResult} from '../announcements/permit-result.js';
import {type ReportedColdness} from '../announcements/reported-coldness.js';
import {type ReportedLimit} from '../announcements/reported-limit.js';
import {type RoomRequest} from '../announcements/room-request.js';
import {type SlotRequest} from '../decide/grants/slot-request.js';
import {type SlotResponse} from '../decide/grants/slot-response.js';
import {type ActiveGrant} from '../decide/grants/active-grant.js';
import {type ClaimResult} from '../decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../decide/commitments/idempotency-claim.js';
import {type ClaimOutcome} from '../decide/commitments/claim-outcome.js';
import {type PieceUpdate} from '../context/piece-update.js';
import {type PieceRecord} from '../context/piece-record.js';
import {type GossipEntry} from '../decide/membership/gossip-entry.js';
import {type PoisonVerdict} from '../decide/poison/poison-verdict.js';
import {type IsolatedRunOutcome} from '../decide/poison/isolated-run-outcome.js';
import {type KvEventCursor} from '../forwarding/kv-event-cursor.js';
import {type KvEventBatch} from '../forwarding/kv-event-batch.js';
import {type SnapshotDelta} from '../object-store/snapshot-delta.js';
import {type StateQuery} from '../object-store/state-query.js';
import {type StoredObject} from '../object-store/stored-object.js';
import {type WeightAge} from '../decide/weights/weight-age.js';
import {type Decision} from '../observe/decision.js';
import {type StreamAnswer} from '../streams/stream-answer.js';
import {type StreamSearch} from '../streams/stream-search.js';

/** Gossip entries by section. */
type Sections = Readonly<Record<string, readonly GossipEntry[]>>;

/** JSON-RPC methods between hosts, with their parameters and results. */
export type PeerMethods = {
	/** Compares the digests of the gossip tables; returns the receiver's version vector if they differ. */
	readonly 'gossip.probe': {
		readonly params: {readonly from: string; readonly digest: string; readonly revision: number};
		readonly result: {readonly digest: string; readonly revision: number; readonly vector?: Readonly<Record<string, string>>};
	};
	/** Sends entries; returns the receiver's entries of the same sections and of those in `want`. */
	readonly 'gossip.sync': {
		readonly params: {readonly sections: Sections; readonly want: readonly string[]};
		readonly result: {readonly sections: Sections};
	};
	/** Probes the address `peers` on behalf of a host that can't reach it. */
	readonly 'gossip.probeThrough': {
		readonly params: {readonly peers: string};
		readonly result: {readonly answered: boolean};
	};
	/** Returns the head of the configuration in force: its revision and the digest of each service file. */
	readonly 'config.head': {
		readonly params: Readonly<Record<string, never>>;
		readonly result: {readonly revision: number; readonly services: Readonly<Record<string, string>>};
	};
	/** Announces a new head; its texts can be read from the address `peers`. */
	readonly 'config.push': {
		readonly params: {readonly revision: number; readonly services: Readonly<Record<string, string>>; readonly peers: string};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Returns the text of a service file in force by its digest; `null` if the receiver does not have it. */
	readonly 'config.text': {
		readonly params: {readonly digest: string};
		readonly result: {readonly text: string | null};
	};
	/** Requests a slot from an engine's owner; returns when the slot is granted or refused. */
	readonly 'grant.ask': {readonly params: SlotRequest; readonly result: SlotResponse};
	/** Withdraws a slot request. */
	readonly 'grant.withdraw': {
		readonly params: {readonly engine: string; readonly id: string};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Ends a grant after `tokens` generated tokens. */
	readonly 'grant.release': {
		readonly params: {readonly engine: string; readonly id: string; readonly tokens: number; readonly hasFailed: boolean};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Renews grants before they expire; an owner that does not have them yet adopts them. */
	readonly 'grant.renew': {
		readonly params: {readonly host: string; readonly grants: readonly ActiveGrant[]};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Returns the piece index's records of pieces, `null` where it has none. */
	readonly 'context.lookup': {
		readonly params: {readonly service: string; readonly keys: readonly string[]; readonly labels: readonly string[]};
		readonly result: {readonly pieces: ReadonlyArray<PieceRecord | null>};
	};
	/** Adds updates to the piece index. */
	readonly 'context.add': {
		readonly params: {readonly additions: readonly PieceUpdate[]};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Frees stored blocks with a lower retention score than `value`; returns how many. */
	readonly 'context.evict': {
		readonly params: {readonly service: string; readonly store: string; readonly value: number};
		readonly result: {readonly freed: number};
	};
	/** Claims an idempotency key in a shard of the ledger, whose number is `slice`. */
	readonly 'commit.claim': {readonly params: {readonly slice: number; readonly claim: IdempotencyClaim}; readonly result: ClaimResult};
	/** Records the outcome of a claim. */
	readonly 'commit.settle': {
		readonly params: {readonly slice: number; readonly outcome: ClaimOutcome};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Asks whether a suspect request may run in isolation. */
	readonly 'poison.begin': {
		readonly params: {readonly digest: string; readonly run: string};
		readonly result: {readonly verdict: PoisonVerdict};
	};
	/** Reports how an isolated run ended. */
	readonly 'poison.end': {
		readonly params: {readonly digest: string; readonly run: string; readonly end: IsolatedRunOutcome};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Returns the changes to each kind of stored object since what the caller knows. */
	readonly 'gateway.state': {
		readonly params: StateQuery;
		readonly result: {readonly states: Readonly<Record<string, SnapshotDelta>>};
	};
	/** Returns the receiver's view of a KV cache store: the changes since the cursor `known` where it has them, else a full listing. */
	readonly 'gateway.kept': {
		readonly params: {readonly store: string; readonly known?: KvEventCursor};
		readonly result: {readonly news: KvEventBatch | null; readonly isWhole: boolean};
	};
	/**
	Reads or writes the rollout lease for a host that can't reach the object store; `null` if the write failed because the lease had been written
	since `revision` (0: since it did not exist) of `epoch`. Hosts of an earlier build state no epoch.
	*/
	readonly 'gateway.lease': {
		readonly params: {readonly write?: {readonly value: unknown; readonly revision: number; readonly epoch?: number}};
		readonly result: {readonly object: StoredObject | null};
	};
	/** Asks for a permit to send one request to an upstream that states a limit. */
	readonly 'gateway.permit': {readonly params: PermitRequest; readonly result: PermitResult};
	/** Asks for a permit to send one request to a cold upstream. */
	readonly 'gateway.coldPermit': {readonly params: ColdPermitRequest; readonly result: PermitResult};
	/** Returns for how long versions of weights have been the desired ones, as far as the receiver knows. */
	readonly 'gateway.weightAges': {
		readonly params: Readonly<Record<string, never>>;
		readonly result: {readonly ages: readonly WeightAge[]};
	};
	/** Asks for a slot of a brittle upstream for one request, or gives it back. */
	readonly 'gateway.statements': {
		readonly params: Readonly<Record<string, never>>;
		readonly result: {
			readonly statements: readonly ReportedLimit[];
			/** Upstreams that the receiver takes to be cold. Hosts of an earlier build state none. */
			readonly cold?: readonly ReportedColdness[];
		};
	};
	readonly 'gateway.room': {readonly params: RoomRequest; readonly result: PermitResult};
	/** Returns what the receiver can say of the upstream of this start. */
	readonly 'gateway.upstreamUp': {readonly params: {readonly id: string; readonly startedAt?: number}; readonly result: {readonly opinion: UpstreamOpinion}};
	/** Returns the software version that began a stream, `null` where the receiver does not know it. Hosts of an earlier build name no service, and don't say what they remember. */
	readonly 'gateway.streamVersion': {readonly params: Pick<StreamSearch, 'id'> & Partial<StreamSearch>; readonly result: StreamAnswer};
	/** Returns the receiver's decisions about a request. */
	readonly explain: {
		readonly params: {readonly requestId: string};
		readonly result: {readonly decisions: readonly Decision[]};
	};
};
