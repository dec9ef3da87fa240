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

const headRecordBytes = 8192;
const segmentBytes = 256 * 1024;
const mergedSegments = 16;
const writeIntervalMs = 200;
const claimPatienceMs = 1500;
const retryPauseMs = 100;
const comeBackMs = 2000;

/** What a slice's journal needs. */
type ShardJournalOptions = {
	readonly platform: Platform;
	readonly slice: number;
	/** How long answers are kept for replay, in milliseconds. */
	readonly keepAnswersMs: () => number;
	readonly now?: () => number;
	/** Waits so many milliseconds. */
	readonly pause?: (ms: number) => Promise<void>;
};

/** A claim or an outcome that waits for the next write. */
type Waiting
	= | {readonly kind: 'claim'; readonly claim: IdempotencyClaim; readonly since: number; readonly resolve: (answer: ClaimResult) => void; readonly reject: (error: unknown) => void}
		| {readonly kind: 'outcome'; readonly outcome: ClaimOutcome; readonly resolve: () => void};

/** The slice as last read: its head, the head's version, and the newest record of every key. */
type State = {
	readonly head: LedgerShardHead;
	readonly version: number;
	readonly index: Map<string, LedgerRecord>;
};

/** What one batch decided: records to append, and the answers to give once they are written. */
type Batch = {
	readonly records: readonly LedgerRecord[];
	readonly finish: ReadonlyArray<() => void>;
};

function toBytes(records: readonly LedgerRecord[]): number {
	return Buffer.byteLength(JSON.stringify(records));
}

/**
Creates the journal of one slice. Every batch of claims and outcomes is one conditional update of the slice's head on the
version that was read, so two writers can't both claim a key. An answer that is lost is resolved by reading again: a
claim that was written is found by its identity.
*/
export function createShardJournal(options: ShardJournalOptions): ShardJournal {
	const {platform, slice, keepAnswersMs, now = Date.now, pause = sleep} = options;
	const segments = new Map<string, readonly LedgerRecord[]>();
	let state: State | undefined;
	let waiting: readonly Waiting[] = [];
	let isWriting = false;
	let lastWrite = 0;

	const readSegment = async (object: string): Promise<readonly LedgerRecord[]> => {
		const known = segments.get(object);
		if (known) {
			return known;
		}

		const stored = await platform.read(object);
		if (!stored) {
			throw new PlatformUnavailableError(`segment ${object} is missing`, 'no');
		}

		const records = JSON.parse(stored.value) as readonly LedgerRecord[];
		segments.set(object, records);
		return records;
	};

	const load = async (): Promise<State> => {
		const object = await platform.read(ledgerObjectKeys.head(slice));
		const head = object ? JSON.parse(object.value) as LedgerShardHead : {number: 0, records: [], segments: []};
		if (state && (object?.version ?? 0) < state.version) {
			throw new PlatformUnavailableError('stale read of a ledger head', 'no');
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

	const decide = (entries: readonly Waiting[], index: ReadonlyMap<string, LedgerRecord>): Batch => {
		const fresh = new Map<string, LedgerRecord>();
		const records: LedgerRecord[] = [];
		const finish: Array<() => void> = [];
		const append = (record: LedgerRecord): void => {
			fresh.set(record.key, record);
			records.push(record);
		};

		for (const entry of entries) {
			if (entry.kind === 'outcome') {
				const {key} = entry.outcome;
				const record = createOutcomeRecord(fresh.get(key) ?? index.get(key), entry.outcome, now());
				if (record) {
					append(record);
				}

				finish.push(entry.resolve);
				continue;
			}

			const {claim} = entry;
			const known = fresh.get(claim.key) ?? index.get(claim.key);
			const answer = decideClaim(known, claim);
			if (answer.kind === 'granted' && known?.id !== claim.id) {
				append({...claim, state: 'claimed', at: now()});
			}

			finish.push(() => {
				entry.resolve(answer);
			});
		}

		return {records, finish};
	};

	const writeSegment = async (records: readonly LedgerRecord[]): Promise<LedgerShardHead['segments'][number]> => {
		const object = ledgerObjectKeys.segment(slice, randomUUID());
		const value = JSON.stringify(records);
		await platform.write(object, value, 0);
		segments.set(object, records);
		return {object, bytes: Buffer.byteLength(value)};
	};

	const mergeSegments = async (list: LedgerShardHead['segments']): Promise<LedgerShardHead['segments']> => {
		const small = list.findIndex(segment => segment.bytes < segmentBytes / 2);
		if (small === -1 || list.length - small < mergedSegments) {
			return list;
		}

		const merged = list.slice(small, small + mergedSegments);
		const records = [];
		for (const segment of merged) {
			records.push(...await readSegment(segment.object));
		}

		const next = await writeSegment(dropExpiredResponses(compactRecords(records), keepAnswersMs(), now()));
		return [...list.slice(0, small), next, ...list.slice(small + mergedSegments)];
	};

	/** Moves the head's records into a segment when they have grown past their limit. */
	const rotate = async (head: LedgerShardHead): Promise<LedgerShardHead> => {
		if (toBytes(head.records) <= headRecordBytes) {
			return head;
		}

		const segment = await writeSegment(compactRecords(head.records));
		return {...head, records: [], segments: await mergeSegments([...head.segments, segment])};
	};

	const write = async (entries: readonly Waiting[]): Promise<void> => {
		const loaded = state ?? await load();
		state = loaded;
		const batch = decide(entries, loaded.index);
		if (batch.records.length > 0) {
			const rotated = await rotate({...loaded.head, number: loaded.head.number + 1, records: [...loaded.head.records, ...batch.records]});
			const version = await platform.write(ledgerObjectKeys.head(slice), JSON.stringify(rotated), loaded.version);
			if (version === undefined) {
				throw new PlatformUnavailableError('the ledger head has moved', 'no');
			}

			for (const record of batch.records) {
				loaded.index.set(record.key, record);
			}

			state = {head: rotated, version, index: loaded.index};
		} else {
			await confirm(loaded);
		}

		for (const finish of batch.finish) {
			finish();
		}
	};

	/** Before an answer is given from the index alone, makes sure that no other host has written since. */
	const confirm = async (loaded: State): Promise<void> => {
		const object = await platform.read(ledgerObjectKeys.head(slice));
		if ((object?.version ?? 0) !== loaded.version) {
			throw new PlatformUnavailableError('the ledger head has moved', 'no');
		}
	};

	const giveUpOld = (entries: readonly Waiting[], error: unknown): readonly Waiting[] => entries.filter(entry => {
		if (entry.kind === 'outcome' || now() - entry.since < claimPatienceMs) {
			return true;
		}

		entry.reject(new Refusal('platform-unavailable', `the commitment can't be recorded now: ${String(error)}`, 'no', comeBackMs));
		return false;
	});

	const run = async (): Promise<void> => {
		isWriting = true;
		while (waiting.length > 0) {
			await pause(lastWrite + writeIntervalMs - now());
			const entries = waiting;
			waiting = [];
			lastWrite = now();
			try {
				await write(entries);
			} catch (error) {
				state = undefined;
				waiting = [...giveUpOld(entries, error), ...waiting];
				lastWrite = 0;
				await pause(retryPauseMs * Math.random());
			}
		}

		isWriting = false;
	};

	const add = (entry: Waiting): void => {
		waiting = [...waiting, entry];
		if (!isWriting) {
			void run();
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
		pendingCount: () => waiting.length,
	};
}
