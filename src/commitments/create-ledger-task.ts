import {computeShard} from '../decide/membership/compute-shard.js';
import {Refusal} from '../errors/refusal.js';
import {type OwnerResolver} from '../membership/owner-resolver.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type Platform} from '../platform/platform.js';
import {sleep} from '../util/sleep.js';
import {createShardJournal} from './create-shard-journal.js';
import {ledgerObjectKeys} from './ledger-object-keys.js';
import {type LedgerTask} from './ledger-task.js';
import {type ShardJournal} from './shard-journal.js';

const shardCount = 64;
const ownerTimeoutMs = 2500;
/** Larger bodies are stored in a separate object. */
const maxInlineResponseBytes = 2048;
/** Larger bodies are not stored. */
const maxStoredResponseBytes = 900_000;
const flushPollMs = 20;

/** Options of `createLedgerTask`. */
type LedgerTaskOptions = {
	readonly self: string;
	readonly platform: Platform;
	readonly owners: OwnerResolver;
	readonly call: PeerRpc;
	/** How long responses are stored for replay, in milliseconds. */
	readonly responseRetentionMs: () => number;
};

/**
Creates the task that claims idempotency keys and records the outcomes of their requests. Each shard's owner batches the
writes of all hosts; a host whose call to the owner fails writes to the shard's journal itself.
*/
export function createLedgerTask(options: LedgerTaskOptions): LedgerTask {
	const {self, platform, owners, call, responseRetentionMs} = options;
	const journals = new Map<number, ShardJournal>();
	/** Number of outcomes that are not yet recorded. */
	let pendingSettlements = 0;

	const journalOf = (shard: number): ShardJournal => {
		const journal = journals.get(shard) ?? createShardJournal({platform, slice: shard, responseRetentionMs});
		journals.set(shard, journal);
		return journal;
	};

	const hasUnstored = (): boolean => pendingSettlements > 0 || [...journals.values()].some(journal => journal.pendingCount() > 0);

	const ownerAddress = (shard: number): string | undefined => {
		const owner = owners.inSystem(`ledger/${shard}`);
		return owner && owner.name !== self ? owner.peers : undefined;
	};

	return {
		async claim(claim) {
			const shard = computeShard(claim.key, shardCount);
			const address = ownerAddress(shard);
			if (address !== undefined) {
				try {
					return await call(address, 'commit.claim', {slice: shard, claim}, {timeoutMs: ownerTimeoutMs});
				} catch (error) {
					// The owner may have written the claim although its response was lost; the journal then finds the claim by its id.
					log.debug({slice: shard, error: String(error)}, 'claim through the owner failed; writing directly');
				}
			}

			return journalOf(shard).claim(claim);
		},
		settle(outcome) {
			const shard = computeShard(outcome.key, shardCount);
			const address = ownerAddress(shard);
			const settleDirectly = async (): Promise<void> => journalOf(shard).settle(outcome);
			const settleThroughOwner = async (): Promise<void> => {
				try {
					await call(address!, 'commit.settle', {slice: shard, outcome}, {timeoutMs: ownerTimeoutMs});
				} catch {
					await settleDirectly();
				}
			};

			pendingSettlements++;
			void (address === undefined ? settleDirectly() : settleThroughOwner()).finally(() => {
				pendingSettlements--;
			});
		},
		async storeResponse(claim, response) {
			const byteLength = Buffer.byteLength(response.body ?? '');
			if (byteLength <= maxInlineResponseBytes) {
				return response;
			}

			const {body, ...rest} = response;
			if (byteLength > maxStoredResponseBytes) {
				return rest;
			}

			const object = ledgerObjectKeys.answer(computeShard(claim.key, shardCount), claim.id);
			try {
				await platform.write(object, body!, 0);
			} catch (error) {
				log.warn({object, error: String(error)}, 'response could not be stored for replay');
				return rest;
			}

			return {...rest, object};
		},
		async readResponseBody(response) {
			if (response.object === undefined) {
				return response.body;
			}

			const object = await platform.read(response.object);
			return object?.value;
		},
		hasUnstored,
		async flush(ms) {
			const until = Date.now() + ms;
			while (hasUnstored() && Date.now() < until) {
				await sleep(flushPollMs);
			}
		},
		handlers: {
			async 'commit.claim'({slice: shard, claim}) {
				if (!Number.isInteger(shard) || shard < 0 || shard >= shardCount) {
					throw new Refusal('bad-request', `shard ${shard} does not exist`, 'no');
				}

				return journalOf(shard).claim(claim);
			},
			async 'commit.settle'({slice: shard, outcome}) {
				await journalOf(shard).settle(outcome);
				return {};
			},
		},
	};
}
