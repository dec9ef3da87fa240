import {type Claim} from '../decide/claims/claim.js';
import {createClaimSwitch} from '../decide/claims/create-claim-switch.js';
import {createQuoteMemory} from '../decide/claims/create-quote-memory.js';
import {decideAfterClaim} from '../decide/claims/decide-after-claim.js';
import {type AdmittedRequest} from '../forwarding/admitted-request.js';
import {type ForwardingProgress} from '../forwarding/forwarding-progress.js';
import {type Placement} from '../forwarding/placement.js';
import {type PlacementClaims} from '../forwarding/placement-claims.js';
import {memoize} from '../util/memoize.js';
import {type ClaimResult, type ClaimTask, type HeldClaim} from './claim-task.js';
import {type ClaimedPlacement} from './claimed-placement.js';

/** What came of the claims for one request. */
type ClaimOutcome = 'kept' | 'moved-on' | Exclude<ClaimResult['kind'], 'quoted'>;

/** Dependencies of the claimer. */
type PlacementClaimerOptions = {
	readonly task: Pick<ClaimTask, 'claim' | 'note'>;
	/** Chooses an upstream; ready to be claimed where `claims` are used. */
	readonly place: (
		admitted: AdmittedRequest,
		progress: Pick<ForwardingProgress, 'service' | 'triedUpstreams' | 'softwareVersion'>,
		claims?: PlacementClaims,
	) => Placement | undefined;
	readonly onOutcome: (outcome: ClaimOutcome) => void;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/** A place that a request has claimed. */
type Quoted = {
	readonly placement: Placement;
	readonly held: HeldClaim;
};

const unclaimed = {endClaim: () => undefined} as const;

function toClaim({upstream, priority, missingTokens, heldTokens}: Placement): Claim {
	return {
		upstreamId: upstream.id, priority, prefillTokens: missingTokens, heldTokens,
	};
}

function withClaim(placement: Placement, {recordAnswered, end}: HeldClaim, candidatesTried: number, quotedWaitMs: number | undefined): ClaimedPlacement {
	return {
		placement: {...placement, claim: {candidatesTried, quotedWaitMs, recordAnswered}},
		endClaim: end,
	};
}

/** Creates the function that chooses an upstream and, where reports are too old for the load, claims a place there and predicts again. */
export function createPlacementClaimer({task, place, onOutcome, now}: PlacementClaimerOptions) {
	const memory = createQuoteMemory();
	const switchOf = memoize((_serviceAndRoute: string) => createClaimSwitch());

	/** Places a request by reports, and lets it count in the ledger. */
	const placeUnquoted = (admitted: AdmittedRequest, progress: ForwardingProgress): ClaimedPlacement => {
		const placement = place(admitted, progress);
		return placement ? withClaim(placement, task.note(toClaim(placement), placement.upstream.domain), 0, undefined) : {placement, ...unclaimed};
	};

	return async (admitted: AdmittedRequest, progress: ForwardingProgress): Promise<ClaimedPlacement> => {
		const {route} = admitted;
		const usesClaims = switchOf(`${progress.service}\n${route.name}`);
		const first = place(admitted, progress, {
			isUsed: unseenMs => usesClaims(unseenMs, route.objectiveMs),
			applyQuotes: (view, priority) => memory.apply(view, priority, now()),
		});
		if (!first?.claimable) {
			return {placement: first, ...unclaimed};
		}

		const quoted: Quoted[] = [];
		for (let candidate: Placement | undefined = first; candidate?.claimable;) {
			const result = await task.claim(toClaim(candidate), candidate.upstream.domain);
			if (result.kind !== 'quoted') {
				if (quoted.length === 0) {
					onOutcome(result.kind);
					return placeUnquoted(admitted, progress);
				}

				break;
			}

			memory.record(candidate.upstream.id, candidate.priority, result.quote, now());
			quoted.push({placement: candidate.claimable.predictWithQuote(result.quote), held: result.held});
			const next: Placement | undefined = candidate.claimable.next();
			const decision = decideAfterClaim({quotedMs: quoted.map(({placement}) => placement.claimable!.rankMs), nextMs: next?.claimable?.rankMs});
			candidate = decision === 'try-next' ? next : undefined;
		}

		const bestMs = Math.min(...quoted.map(({placement}) => placement.claimable!.rankMs));
		const kept = quoted.find(({placement}) => placement.claimable!.rankMs === bestMs)!;
		for (const {held} of quoted) {
			if (held !== kept.held) {
				held.end();
			}
		}

		onOutcome(kept === quoted[0] ? 'kept' : 'moved-on');
		return withClaim(kept.placement, kept.held, quoted.length, kept.placement.claimable!.waitMs);
	};
}
