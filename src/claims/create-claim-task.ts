import {type Claim} from '../decide/claims/claim.js';
import {createClaimLedger} from '../decide/claims/create-claim-ledger.js';
import {createOwnerPauses} from '../decide/claims/create-owner-pauses.js';
import {type LoadQuote} from '../decide/claims/load-quote.js';
import {log} from '../observe/log.js';
import {type KnownHost} from '../reports/known-host.js';
import {memoizeLast} from '../util/memoize-last.js';
import {type ClaimMessage} from './claim-message.js';
import {type ClaimResult, type ClaimTask, type HeldClaim} from './claim-task.js';
import {createClaimOutbox} from './create-claim-outbox.js';
import {createLedgerOwnerFinder} from './create-ledger-owner-finder.js';
import {type WireClaim} from './claim-batch.js';
import {type WireQuote} from './quote-batch.js';

/** Time in which an owner has to answer: several round trips, and short beside the objectives of 400 ms and more. */
const answerMs = 15;
/** A process that checks its claims later than this stood still itself, and a missing answer says nothing of the owner. */
const standstillMs = 60;

/** Dependencies of the task. */
type ClaimTaskOptions = {
	/** Name and failure domain of this host. */
	readonly self: {readonly host: string; readonly domain: string};
	/** Returns the other hosts with a recent report; the same list while they are the same. */
	readonly alive: () => readonly KnownHost[];
	/** Returns all other hosts known; the same list while they are the same. */
	readonly listOthers: () => readonly KnownHost[];
	readonly send: (message: ClaimMessage, address: string) => void;
	/** Number of the first claim; those of an earlier run of this host are lower. */
	readonly firstNumber: number;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	/** Runs a function after a time in milliseconds. */
	readonly after: (run: () => void, ms: number) => void;
	/** Runs a function after the input that has already arrived. */
	readonly defer: (run: () => void) => void;
};

/** A claim without an answer yet. */
type Waiting = {
	readonly owner: string;
	readonly askedAt: number;
	readonly resolve: (quote: LoadQuote | undefined) => void;
};

function toClaim([, upstreamId, priority, prefillTokens, heldTokens]: WireClaim): Claim {
	return {
		upstreamId, priority, prefillTokens, heldTokens,
	};
}

function toWireQuote(number: number, {inFlight, aheadTokens, heldTokens, isQueueing, isFilling}: LoadQuote): WireQuote {
	return [number, inFlight, Math.round(aheadTokens), heldTokens, Number(isQueueing), Number(isFilling)];
}

/**
Creates the claims of places at upstreams. For each upstream one host keeps the ledger of all hosts' claims; it is advice: without an answer in
time a request is placed by reports.
*/
export function createClaimTask({self, alive, listOthers, send, firstNumber, now, after, defer}: ClaimTaskOptions): ClaimTask {
	const findLedgerOwner = createLedgerOwnerFinder({self, alive});
	const ledger = createClaimLedger();
	const pauses = createOwnerPauses();
	const outbox = createClaimOutbox({
		self: self.host, firstNumber, send, after, defer,
	});
	/** By number, oldest first. */
	const waiting = new Map<number, Waiting>();
	const listAliveNames = memoizeLast((hosts: readonly KnownHost[]) => new Set([self.host, ...hosts.map(({host}) => host)]));
	const listAddresses = memoizeLast((hosts: readonly KnownHost[]) => new Map(hosts.map(({host, reports}) => [host, reports])));
	let isTimed = false;
	let hasStopped = false;

	const reviewLedger = (): void => {
		const aliveNames = listAliveNames(alive());
		ledger.review(host => !aliveNames.has(host), now());
	};

	const settleOverdue = (): void => {
		for (const [number, {owner, askedAt, resolve}] of waiting) {
			const waitedMs = now() - askedAt;
			if (waitedMs < answerMs) {
				break;
			}

			waiting.delete(number);
			if (waitedMs < standstillMs && !pauses.isPaused(owner, now())) {
				log.info({owner, waitedMs: Math.round(waitedMs)}, 'host that keeps the ledger of an upstream does not answer');
			}

			if (waitedMs < standstillMs) {
				pauses.recordMiss(owner, askedAt, now());
			}

			resolve(undefined);
		}

		startTimer();
	};

	/** One timer serves all claims. Answers that have arrived by the time it fires are read first. */
	const startTimer = (): void => {
		const [oldest] = waiting.values();
		if (!isTimed && oldest) {
			isTimed = true;
			after(() => {
				defer(() => {
					isTimed = false;
					settleOverdue();
				});
			}, Math.max(1, oldest.askedAt + answerMs - now()));
		}
	};

	const toWire = (number: number, {upstreamId, priority, prefillTokens, heldTokens}: Claim): WireClaim =>
		[number, upstreamId, priority, Math.max(0, Math.round(prefillTokens)), Math.max(0, Math.round(heldTokens))];

	const hold = (owner: string, address: string | undefined, number: number): HeldClaim => {
		let isAnswered = false;
		let hasEnded = false;
		return {
			recordAnswered() {
				if (isAnswered || hasEnded) {
					return;
				}

				isAnswered = true;
				if (address === undefined) {
					ledger.recordAnswered(owner, number);
				} else {
					outbox.recordAnswered(owner, address, number);
				}
			},
			end() {
				if (hasEnded) {
					return;
				}

				hasEnded = true;
				if (address === undefined) {
					ledger.end(owner, number);
				} else {
					outbox.end(owner, address, number);
				}
			},
		};
	};

	const claimHere = (number: number, claim: Claim): LoadQuote => {
		reviewLedger();
		return ledger.claim(self.host, number, toClaim(toWire(number, claim)), now());
	};

	const ask = async (owner: string, address: string, number: number, claim: Claim): Promise<LoadQuote | undefined> => new Promise(resolve => {
		waiting.set(number, {owner, askedAt: now(), resolve});
		outbox.claim(owner, address, toWire(number, claim), true);
		startTimer();
	});

	const receiveClaims = ({h: host, m: lowest, c: claims = [], n: notes = [], a: answered = [], e: ended = []}: NonNullable<ClaimMessage['claims']>): void => {
		reviewLedger();
		for (const number of answered) {
			ledger.recordAnswered(host, number);
		}

		for (const number of ended) {
			ledger.end(host, number);
		}

		ledger.endBelow(host, lowest);
		const quotes = claims.map(claim => toWireQuote(claim[0], ledger.claim(host, claim[0], toClaim(claim), now())));
		const address = listAddresses(listOthers()).get(host);
		if (quotes.length > 0 && address !== undefined) {
			send({quotes: {h: self.host, q: quotes}}, address);
		}

		for (const note of notes) {
			ledger.claim(host, note[0], toClaim(note), now());
		}
	};

	return {
		async claim(claim, domain): Promise<ClaimResult> {
			const {host, address} = findLedgerOwner(claim.upstreamId, domain);
			if (address !== undefined && (hasStopped || pauses.isPaused(host, now()))) {
				return {kind: 'not-asked'};
			}

			const number = outbox.takeNumber();
			const held = hold(host, address, number);
			const quote = address === undefined ? claimHere(number, claim) : await ask(host, address, number, claim);
			if (!quote) {
				held.end();
				return {kind: 'no-answer'};
			}

			return {kind: 'quoted', quote, held};
		},
		note(claim, domain) {
			const {host, address} = findLedgerOwner(claim.upstreamId, domain);
			const number = outbox.takeNumber();
			if (address === undefined) {
				claimHere(number, claim);
			} else {
				outbox.claim(host, address, toWire(number, claim), false);
			}

			return hold(host, address, number);
		},
		receive({claims, quotes}) {
			if (hasStopped) {
				return;
			}

			if (claims) {
				receiveClaims(claims);
			}

			for (const [number, inFlight, aheadTokens, heldTokens, isQueueing, isFilling] of quotes?.q ?? []) {
				const claim = waiting.get(number);
				if (claim?.owner === quotes!.h) {
					waiting.delete(number);
					pauses.recordAnswer(claim.owner);
					claim.resolve({
						inFlight, aheadTokens, heldTokens, isQueueing: isQueueing === 1, isFilling: isFilling === 1,
					});
				}
			}
		},
		stop() {
			hasStopped = true;
		},
	};
}
