import {randomUUID} from 'node:crypto';
import {decideClaim} from '../decide/commitments/decide-claim.js';
import {createOutcomeRecord} from '../decide/commitments/create-outcome-record.js';
import {compactRecords} from '../decide/commitments/compact-records.js';
import {type ClaimResult} from '../decide/commitments/claim-result.js';
import {type IdempotencyClaim} from '../decide/commitments/idempotency-claim.js';
import {type LedgerShardHead} from '../decide/commitments/ledger-shard-head.js';
import {type LedgerRecord} from '../decide/commitments/ledger-record.js';
import {type ClaimOutcome} from '../decide/commitments/claim-outcome.js';
import {dropExpiredResponses} from '../decide/commitments/drop-expired-responses.js';
import {PlatformUnavailableError} from '../errors/platform-unavailable-error.js';
import {Refusal} from '../errors/refusal.js';
import {type Platform} from '../platform/platform.js';
import {sleep} from '../util/sleep.js';
import {ledgerObjectKeys} from './ledger-object-keys.js';
import {type ShardJournal} from './shard-journal.js';

const maxHeadRecordBytes = 8192;
/** Segments below half of this size count as small; a merge starts at the first small one. */
const targetSegmentBytes = 256 * 1024;
/** Number of consecutive segments that a merge replaces by one. */
const segmentsPerMerge = 16;
const minWriteIntervalMs = 200;
/** A claim that could not be recorded for this long is refused. */
const claimTimeoutMs = 1500;
const maxRetryPauseMs = 100;
const claimRetryAfterMs = 2000;

/** Options of `createShardJournal`. */
type ShardJournalOptions = {
	readonly platform: Platform;
	/** Number of the shard; `slice` is its name in messages to peers and in log lines. */
	readonly slice: number;
	/** How long responses are stored for replay, in milliseconds. */
	readonly responseRetentionMs: () => number;
	/** Wall-clock time in milliseconds. */
	readonly now?: () => number;
	/** Waits for a number of milliseconds. */
	readonly pause?: (ms: number) => Promise<void>;
};

/** A claim or an outcome that waits for the next write; `since` is the time at which the claim was added. */
type PendingWrite
	= | {readonly kind: 'claim'; readonly claim: IdempotencyClaim; readonly since: number; readonly resolve: (result: ClaimResult) => void; readonly reject: (error: unknown) => void}
		| {readonly kind: 'outcome'; readonly outcome: ClaimOutcome; readonly resolve: () => void};

/** The shard as last read: its head, the head's version, and the newest record of every key. */
type LoadedShard = {
	readonly head: LedgerShardHead;
	readonly version: number;
	readonly index: Map<string, LedgerRecord>;
};

/** The decision on one batch: records to append, and callbacks that report the results once the records are written. */
type BatchDecision = {
	readonly records: readonly LedgerRecord[];
	readonly callbacks: ReadonlyArray<() => void>;
};

function computeJsonBytes(records: readonly LedgerRecord[]): number {
	return Buffer.byteLength(JSON.stringify(records));
}

/**
Creates the journal of one shard. Every batch of claims and outcomes is one conditional update of the shard's head, based
on the version that was read, so two writers can't both claim a key. When the response to a write is lost, the shard is
read again: a claim that was written is found by its id.
*/
export function createShardJournal(options: ShardJournalOptions): ShardJournal {
	const {platform, slice: shard, responseRetentionMs, now = Date.now, pause = sleep} = options;
	const segmentCache = new Map<string, readonly LedgerRecord[]>();
	let cachedShard: LoadedShard | undefined;
	let pendingWrites: readonly PendingWrite[] = [];
	let isWriting = false;
	let lastWriteAt = 0;

	const readSegment = async (object: string): Promise<readonly LedgerRecord[]> => {
		const known = segmentCache.get(object);
		if (known) {
			return known;
		}

		const stored = await platform.read(object);
		if (!stored) {
			throw new PlatformUnavailableError(`segment ${object} is missing`, 'no');
		}

		const records = JSON.parse(stored.value) as readonly LedgerRecord[];
		segmentCache.set(object, records);
		return records;
	};

	const load = async (): Promise<LoadedShard> => {
		const object = await platform.read(ledgerObjectKeys.head(shard));
		const head = object ? JSON.parse(object.value) as LedgerShardHead : {number: 0, records: [], segments: []};
		if (cachedShard && (object?.version ?? 0) < cachedShard.version) {
			throw new PlatformUnavailableError('stale read of the ledger head', 'no');
		}

		const index = new Map<string, LedgerRecord>();
		for (const {object: name} of head.segments) {
			for (const record of await readSegment(name)) {
				index.set(record.key, record);
			}
		}

		for (const record of head.records) {
			index.set(record.key, record);
		}

		return {head, version: object?.version ?? 0, index};
	};

	const decideBatch = (entries: readonly PendingWrite[], index: ReadonlyMap<string, LedgerRecord>): BatchDecision => {
		const appended = new Map<string, LedgerRecord>();
		const records: LedgerRecord[] = [];
		const callbacks: Array<() => void> = [];
		const append = (record: LedgerRecord): void => {
			appended.set(record.key, record);
			records.push(record);
		};

		for (const entry of entries) {
			if (entry.kind === 'outcome') {
				const {key} = entry.outcome;
				const record = createOutcomeRecord(appended.get(key) ?? index.get(key), entry.outcome, now());
				if (record) {
					append(record);
				}

				callbacks.push(entry.resolve);
				continue;
			}

			const {claim} = entry;
			const known = appended.get(claim.key) ?? index.get(claim.key);
			const result = decideClaim(known, claim);
			if (result.kind === 'granted' && known?.id !== claim.id) {
				append({...claim, state: 'claimed', at: now()});
			}

			callbacks.push(() => {
				entry.resolve(result);
			});
		}

		return {records, callbacks};
	};

	const writeSegment = async (records: readonly LedgerRecord[]): Promise<LedgerShardHead['segments'][number]> => {
		const object = ledgerObjectKeys.segment(shard, randomUUID());
		const value = JSON.stringify(records);
		await platform.write(object, value, 0);
		segmentCache.set(object, records);
		return {object, bytes: Buffer.byteLength(value)};
	};

	/**
	Merges `segmentsPerMerge` consecutive segments into one, starting at the first small segment, and drops expired responses.
	Returns `segments` unchanged while there are fewer from the first small one to the end.
	*/
	const mergeSegments = async (segments: LedgerShardHead['segments']): Promise<LedgerShardHead['segments']> => {
		const firstSmall = segments.findIndex(segment => segment.bytes < targetSegmentBytes / 2);
		if (firstSmall === -1 || segments.length - firstSmall < segmentsPerMerge) {
			return segments;
		}

		const merged = segments.slice(firstSmall, firstSmall + segmentsPerMerge);
		const records = [];
		for (const segment of merged) {
			records.push(...await readSegment(segment.object));
		}

		const next = await writeSegment(dropExpiredResponses(compactRecords(records), responseRetentionMs(), now()));
		return [...segments.slice(0, firstSmall), next, ...segments.slice(firstSmall + segmentsPerMerge)];
	};

	/** Moves the head's records into a new segment once they exceed `maxHeadRecordBytes`. */
	const rotate = async (head: LedgerShardHead): Promise<LedgerShardHead> => {
		if (computeJsonBytes(head.records) <= maxHeadRecordBytes) {
			return head;
		}

		const segment = await writeSegment(compactRecords(head.records));
		return {...head, records: [], segments: await mergeSegments([...head.segments, segment])};
	};

	const write = async (entries: readonly PendingWrite[]): Promise<void> => {
		const loaded = cachedShard ?? await load();
		cachedShard = loaded;
		const batch = decideBatch(entries, loaded.index);
		if (batch.records.length > 0) {
			const rotated = await rotate({...loaded.head, number: loaded.head.number + 1, records: [...loaded.head.records, ...batch.records]});
			const version = await platform.write(ledgerObjectKeys.head(shard), JSON.stringify(rotated), loaded.version);
			if (version === undefined) {
				throw new PlatformUnavailableError('the ledger head was changed by another writer', 'no');
			}

			for (const record of batch.records) {
				loaded.index.set(record.key, record);
			}

			cachedShard = {head: rotated, version, index: loaded.index};
		} else {
			await assertUnchanged(loaded);
		}

		for (const callback of batch.callbacks) {
			callback();
		}
	};

	/** Verifies that no other host has written since the shard was loaded, before results are reported from the index alone. */
	const assertUnchanged = async (loaded: LoadedShard): Promise<void> => {
		const object = await platform.read(ledgerObjectKeys.head(shard));
		if ((object?.version ?? 0) !== loaded.version) {
			throw new PlatformUnavailableError('the ledger head was changed by another writer', 'no');
		}
	};

	/** Refuses the claims that have waited for `claimTimeoutMs` and returns the entries to retry; outcomes are always retried. */
	const rejectTimedOut = (entries: readonly PendingWrite[], error: unknown): readonly PendingWrite[] => entries.filter(entry => {
		if (entry.kind === 'outcome' || now() - entry.since < claimTimeoutMs) {
			return true;
		}

		entry.reject(new Refusal('platform-unavailable', `the claim could not be recorded: ${String(error)}`, 'no', claimRetryAfterMs));
		return false;
	});

	const writePending = async (): Promise<void> => {
		isWriting = true;
		while (pendingWrites.length > 0) {
			await pause(lastWriteAt + minWriteIntervalMs - now());
			const entries = pendingWrites;
			pendingWrites = [];
			lastWriteAt = now();
			try {
				await write(entries);
			} catch (error) {
				cachedShard = undefined;
				pendingWrites = [...rejectTimedOut(entries, error), ...pendingWrites];
				lastWriteAt = 0;
				await pause(maxRetryPauseMs * Math.random());
			}
		}

		isWriting = false;
	};

	const add = (entry: PendingWrite): void => {
		pendingWrites = [...pendingWrites, entry];
		if (!isWriting) {
			void writePending();
		}
	};

	return {
		claim: async claim => new Promise((resolve, reject) => {
			add({
				kind: 'claim', claim, since: now(), resolve, reject,
			});
		}),
		settle: async outcome => new Promise(resolve => {
			add({kind: 'outcome', outcome, resolve});
		}),
		pendingCount: () => pendingWrites.length,
	};
}
