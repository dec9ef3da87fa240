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
import {type SnapshotDelta} from '../forwarding/snapshot-delta.js';
import {type StoredObject} from '../forwarding/stored-object.js';
import {type Decision} from '../observe/decision.js';

/** Entries of gossip sections. */
type Sections = Readonly<Record<string, readonly GossipEntry[]>>;

/** Methods between hosts, with their parameters and results. */
export type PeerMethods = {
	/** Compares digests; the vector comes back where they differ. */
	readonly 'gossip.probe': {
		readonly params: {readonly from: string; readonly digest: string; readonly revision: number};
		readonly result: {readonly digest: string; readonly revision: number; readonly vector?: Readonly<Record<string, string>>};
	};
	/** Gives entries and asks for the answerer's entries of the same and of the wanted sections. */
	readonly 'gossip.sync': {
		readonly params: {readonly sections: Sections; readonly want: readonly string[]};
		readonly result: {readonly sections: Sections};
	};
	/** Probes an address on behalf of a peer that can't reach it. */
	readonly 'gossip.probeThrough': {
		readonly params: {readonly peers: string};
		readonly result: {readonly answered: boolean};
	};
	/** Gives the head in force. */
	readonly 'config.head': {
		readonly params: Readonly<Record<string, never>>;
		readonly result: {readonly revision: number; readonly services: Readonly<Record<string, string>>};
	};
	/** Tells of a new head. */
	readonly 'config.push': {
		readonly params: {readonly revision: number; readonly services: Readonly<Record<string, string>>; readonly peers: string};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Gives the text of a service file in force. */
	readonly 'config.text': {
		readonly params: {readonly digest: string};
		readonly result: {readonly text: string | null};
	};
	/** Asks an engine's owner for a grant; answered when granted or refused. */
	readonly 'grant.ask': {readonly params: SlotRequest; readonly result: SlotResponse};
	readonly 'grant.withdraw': {
		readonly params: {readonly engine: string; readonly id: string};
		readonly result: Readonly<Record<string, never>>;
	};
	readonly 'grant.release': {
		readonly params: {readonly engine: string; readonly id: string; readonly tokens: number; readonly hasFailed: boolean};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Keeps grants from expiring; an owner that does not know them yet takes them over. */
	readonly 'grant.renew': {
		readonly params: {readonly host: string; readonly grants: readonly ActiveGrant[]};
		readonly result: Readonly<Record<string, never>>;
	};
	readonly 'context.lookup': {
		readonly params: {readonly service: string; readonly keys: readonly string[]; readonly labels: readonly string[]};
		readonly result: {readonly pieces: ReadonlyArray<PieceRecord | null>};
	};
	readonly 'context.add': {
		readonly params: {readonly additions: readonly PieceUpdate[]};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Frees blocks of less value than the asker's; answers how many. */
	readonly 'context.evict': {
		readonly params: {readonly service: string; readonly store: string; readonly value: number};
		readonly result: {readonly freed: number};
	};
	readonly 'commit.claim': {readonly params: {readonly slice: number; readonly claim: IdempotencyClaim}; readonly result: ClaimResult};
	readonly 'commit.settle': {
		readonly params: {readonly slice: number; readonly outcome: ClaimOutcome};
		readonly result: Readonly<Record<string, never>>;
	};
	readonly 'poison.begin': {
		readonly params: {readonly digest: string; readonly run: string};
		readonly result: {readonly verdict: PoisonVerdict};
	};
	readonly 'poison.end': {
		readonly params: {readonly digest: string; readonly run: string; readonly end: IsolatedRunOutcome};
		readonly result: Readonly<Record<string, never>>;
	};
	/** Gives what has changed of each kind of stored objects since the asker's revisions. */
	readonly 'gateway.state': {
		readonly params: {readonly revisions: Readonly<Record<string, number>>};
		readonly result: {readonly states: Readonly<Record<string, SnapshotDelta>>};
	};
	/** Gives what the answerer knows of a store of kept context: what has changed since a poll where it can tell, else all, as a listing. */
	readonly 'gateway.kept': {
		readonly params: {readonly store: string; readonly known?: KvEventCursor};
		readonly result: {readonly news: KvEventBatch | null; readonly isWhole: boolean};
	};
	/** Reads the lease of the roll-out, or writes it, for a host that the store does not answer; `null` where the write lost. */
	readonly 'gateway.lease': {
		readonly params: {readonly write?: {readonly value: unknown; readonly revision: number}};
		readonly result: {readonly object: StoredObject | null};
	};
	readonly explain: {
		readonly params: {readonly requestId: string};
		readonly result: {readonly decisions: readonly Decision[]};
	};
};
