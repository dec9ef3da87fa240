import {lowerPriorityShare} from '../forwarding/lower-priority-share.js';
import {type Claim} from './claim.js';
import {type LoadQuote} from './load-quote.js';

/** A claim whose end nobody reports counts for this long; also bounds the streams that are counted as in flight. */
const maxClaimMs = 10_000;
/** The prefill of a claim that nobody reports as answered counts for this long; longer than any objective in the deployments measured. */
const maxPrefillMs = 3000;
/** A ledger is incomplete for this long after the first claim. Requests are at an upstream for 100 to 200 ms in the deployments measured. */
const fillMs = 600;
/** A host that claims has been heard by the others after this long. */
const unheardMs = 2000;
const reviewMs = 250;
/** Claims kept in all ledgers of a host together; further ones are quoted and not recorded. */
const maxClaims = 20_000;

type Entry = {
	readonly claim: Claim;
	readonly at: number;
	isAnswered: boolean;
};

/** Sum of the claims at one upstream. */
type Total = {
	/** When the first claim arrived after a time without any. */
	begunAt: number;
	claimedAt: number;
	inFlight: number;
	heldTokens: number;
	/** Prompt tokens whose prefill has not ended, by priority. */
	readonly waiting: Map<number, number>;
};

type HostClaims = {
	/** Number of the oldest claim that the host still holds here; lower ones have ended. */
	lowest: number;
	readonly open: Map<number, Entry>;
};

/** Ledger of the claims at the upstreams that a host owns. Times are in milliseconds. */
type ClaimLedger = {
	/** Records a claim and returns what was there before it. */
	readonly claim: (host: string, number: number, claim: Claim, now: number) => LoadQuote;
	/** Records that the prefill of a claim's request has ended. */
	readonly recordAnswered: (host: string, number: number) => void;
	/** Removes a claim whose request has ended or which is withdrawn. */
	readonly end: (host: string, number: number) => void;
	/** Removes the claims of a host below a number: their ends may have been lost. */
	readonly endBelow: (host: string, lowest: number) => void;
	/** Removes expired claims, and those of hosts that are gone, other than hosts that have just started and may not have been heard yet. */
	readonly review: (isGone: (host: string) => boolean, now: number) => void;
	/** Number of claims held. */
	readonly size: () => number;
};

/**
Creates the ledger of the requests that hosts send to some upstreams. Load pattern: dozens of hosts that place requests at a rate at which the
load reports of the others are too old: what they have placed since is several times the queue that the reports show.
*/
export function createClaimLedger(): ClaimLedger {
	const totals = new Map<string, Total>();
	const hosts = new Map<string, HostClaims>();
	let size = 0;
	let reviewedAt = Number.NEGATIVE_INFINITY;

	const findHost = (host: string): HostClaims => {
		const known = hosts.get(host);
		if (known) {
			return known;
		}

		const added = {lowest: Number.NEGATIVE_INFINITY, open: new Map<number, Entry>()};
		hosts.set(host, added);
		return added;
	};

	const findTotal = (upstreamId: string, now: number): Total => {
		const known = totals.get(upstreamId);
		if (known) {
			return known;
		}

		const added = {
			begunAt: now, claimedAt: now, inFlight: 0, heldTokens: 0, waiting: new Map<number, number>(),
		};
		totals.set(upstreamId, added);
		return added;
	};

	const addWaiting = ({waiting}: Total, priority: number, tokens: number): void => {
		waiting.set(priority, (waiting.get(priority) ?? 0) + tokens);
	};

	const settlePrefill = (entry: Entry): void => {
		if (!entry.isAnswered) {
			entry.isAnswered = true;
			addWaiting(totals.get(entry.claim.upstreamId)!, entry.claim.priority, -entry.claim.prefillTokens);
		}
	};

	const remove = (open: Map<number, Entry>, number: number): void => {
		const entry = open.get(number);
		if (entry) {
			settlePrefill(entry);
			const total = totals.get(entry.claim.upstreamId)!;
			total.inFlight--;
			total.heldTokens -= entry.claim.heldTokens;
			open.delete(number);
			size--;
		}
	};

	const toQuote = (total: Total, priority: number, now: number): LoadQuote => {
		let aheadTokens = 0;
		let waitingTokens = 0;
		for (const [ofPriority, tokens] of total.waiting) {
			waitingTokens += tokens;
			aheadTokens += ofPriority <= priority ? tokens : tokens * lowerPriorityShare;
		}

		return {
			inFlight: total.inFlight, aheadTokens, isQueueing: waitingTokens > 0, heldTokens: total.heldTokens, isFilling: now - total.begunAt < fillMs,
		};
	};

	return {
		claim(host, number, claim, now) {
			const {lowest, open} = findHost(host);
			// A datagram that arrives twice: what was there before the claim does not include the claim itself.
			remove(open, number);
			const total = findTotal(claim.upstreamId, now);
			const quote = toQuote(total, claim.priority, now);
			// A claim that was overtaken by its own end is not recorded.
			if (number >= lowest && size < maxClaims) {
				open.set(number, {claim, at: now, isAnswered: false});
				size++;
				total.claimedAt = now;
				total.inFlight++;
				total.heldTokens += claim.heldTokens;
				addWaiting(total, claim.priority, claim.prefillTokens);
			}

			return quote;
		},
		recordAnswered(host, number) {
			const entry = hosts.get(host)?.open.get(number);
			if (entry) {
				settlePrefill(entry);
			}
		},
		end(host, number) {
			const known = hosts.get(host);
			if (known) {
				remove(known.open, number);
			}
		},
		endBelow(host, lowest) {
			const known = findHost(host);
			if (lowest <= known.lowest) {
				return;
			}

			known.lowest = lowest;
			for (const number of known.open.keys()) {
				if (number < lowest) {
					remove(known.open, number);
				}
			}
		},
		review(isGone, now) {
			if (now - reviewedAt < reviewMs) {
				return;
			}

			reviewedAt = now;
			for (const [host, {open}] of hosts) {
				const isHostGone = isGone(host);
				for (const [number, entry] of open) {
					const ageMs = now - entry.at;
					if (ageMs > (isHostGone ? unheardMs : maxClaimMs)) {
						remove(open, number);
					} else if (ageMs > maxPrefillMs) {
						settlePrefill(entry);
					}
				}

				if (isHostGone && open.size === 0) {
					hosts.delete(host);
				}
			}

			for (const [upstreamId, {inFlight, claimedAt}] of totals) {
				if (inFlight === 0 && now - claimedAt > fillMs) {
					totals.delete(upstreamId);
				}
			}
		},
		size: () => size,
	};
}
