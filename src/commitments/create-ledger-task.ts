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

const sliceCount = 64;
const ownerTimeoutMs = 2500;
const inlineAnswerBytes = 2048;
const keptAnswerBytes = 900_000;
const flushStepMs = 20;

/** What the ledger task needs. */
type LedgerTaskOptions = {
	readonly self: string;
	readonly platform: Platform;
	readonly owners: OwnerResolver;
	readonly call: PeerRpc;
	readonly keepAnswersMs: () => number;
};

/** Creates the task that claims keys and records outcomes. */
export function createLedgerTask(options: LedgerTaskOptions): LedgerTask {
	const {self, platform, owners, call, keepAnswersMs} = options;
	const journals = new Map<number, ShardJournal>();
	let unsettled = 0;

	const journalOf = (slice: number): ShardJournal => {
		const journal = journals.get(slice) ?? createShardJournal({platform, slice, keepAnswersMs});
		journals.set(slice, journal);
		return journal;
	};

	const ownerAddress = (slice: number): string | undefined => {
		const owner = owners.inSystem(`ledger/${slice}`);
		return owner && owner.name !== self ? owner.peers : undefined;
	};

	return {
		async claim(claim) {
			const slice = computeShard(claim.key, sliceCount);
			const address = ownerAddress(slice);
			if (address !== undefined) {
				try {
					return await call(address, 'commit.claim', {slice, claim}, {timeoutMs: ownerTimeoutMs});
				} catch (error) {
					// The owner may have written the claim all the same; the journal then finds it by its identity.
					log.debug({slice, error: String(error)}, 'claim through the owner failed; writing directly');
				}
			}

			return journalOf(slice).claim(claim);
		},
		settle(outcome) {
			const slice = computeShard(outcome.key, sliceCount);
			const address = ownerAddress(slice);
			const direct = async (): Promise<void> => journalOf(slice).settle(outcome);
			const throughOwner = async (): Promise<void> => {
				try {
					await call(address!, 'commit.settle', {slice, outcome}, {timeoutMs: ownerTimeoutMs});
				} catch {
					await direct();
				}
			};

			unsettled++;
			void (address === undefined ? direct() : throughOwner()).finally(() => {
				unsettled--;
			});
		},
		async storeResponse(claim, answer) {
			const size = Buffer.byteLength(answer.body ?? '');
			if (size <= inlineAnswerBytes) {
				return answer;
			}

			const {body, ...rest} = answer;
			if (size > keptAnswerBytes) {
				return rest;
			}

			const object = ledgerObjectKeys.answer(computeShard(claim.key, sliceCount), claim.id);
			try {
				await platform.write(object, body!, 0);
			} catch (error) {
				log.warn({object, error: String(error)}, 'the answer to a commitment could not be kept');
				return rest;
			}

			return {...rest, object};
		},
		async readResponseBody(answer) {
			if (answer.object === undefined) {
				return answer.body;
			}

			const object = await platform.read(answer.object);
			return object?.value;
		},
		async flush(ms) {
			const until = Date.now() + ms;
			while ((unsettled > 0 || [...journals.values()].some(journal => journal.pendingCount() > 0)) && Date.now() < until) {
				await sleep(flushStepMs);
			}
		},
		handlers: {
			async 'commit.claim'({slice, claim}) {
				if (!Number.isInteger(slice) || slice < 0 || slice >= sliceCount) {
					throw new Refusal('bad-request', `slice ${slice} does not exist`, 'no');
				}

				return journalOf(slice).claim(claim);
			},
			async 'commit.settle'({slice, outcome}) {
				await journalOf(slice).settle(outcome);
				return {};
			},
		},
	};
}
