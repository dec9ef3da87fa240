import {canClaim} from '../decide/claims/can-claim.js';
import {type KnownHost} from '../reports/known-host.js';
import {memoizeLast} from '../util/memoize-last.js';
import {type AdmittedRequest} from '../forwarding/admitted-request.js';
import {type ForwardingProgress} from '../forwarding/forwarding-progress.js';
import {type HostReportExchange} from '../reports/host-report-exchange.js';
import {type ClaimMessage} from './claim-message.js';
import {type ClaimedPlacement} from './claimed-placement.js';
import {createClaimTask} from './create-claim-task.js';
import {createPlacementClaimer} from './create-placement-claimer.js';

/** Dependencies of the claims. */
type ClaimsOptions = {
	/** Settings of the host. */
	readonly settings: {
		readonly name: string;
		readonly domain: string;
		readonly placement: {readonly claims: boolean};
		readonly limits: Parameters<typeof canClaim>[0];
	};
	readonly reportExchange: Pick<HostReportExchange, 'alive' | 'listOthers' | 'sendClaims'>;
	readonly onOutcome: Parameters<typeof createPlacementClaimer>[0]['onOutcome'];
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
};

/** Claims of places at upstreams, as far as the settings ask for them. */
type Claims = {
	/** Whether this host claims and answers claims, which it tells the others. */
	readonly isOn: boolean;
	readonly receive: (message: ClaimMessage) => void;
	/** Returns the function that chooses an upstream and claims a place there; `undefined` where the settings ask for no claims. */
	readonly createClaimPlace: (
		place: Parameters<typeof createPlacementClaimer>[0]['place'],
	) => ((admitted: AdmittedRequest, progress: ForwardingProgress) => Promise<ClaimedPlacement>) | undefined;
	readonly stop: () => void;
};

/**
Creates the claims of a host. Without the setting, or with too small a processor, it neither claims nor answers, as hosts of an earlier build. A ledger
that misses the requests of some hosts misleads the others, so no host claims while one that is alive doesn't.
*/
export function createClaims({settings: {name, domain, placement, limits}, reportExchange, onOutcome, now}: ClaimsOptions): Claims {
	if (!placement.claims || !canClaim(limits)) {
		return {
			isOn: false, receive: () => undefined, createClaimPlace: () => undefined, stop: () => undefined,
		};
	}

	const task = createClaimTask({
		self: {host: name, domain},
		alive: reportExchange.alive,
		listOthers: reportExchange.listOthers,
		send: reportExchange.sendClaims,
		firstNumber: Date.now(),
		now,
		after: setTimeout,
		defer: setImmediate,
	});
	const doAllClaim = memoizeLast((hosts: readonly KnownHost[]) => hosts.every(({claimsPlaces}) => claimsPlaces === true));
	return {
		isOn: true,
		receive: task.receive,
		createClaimPlace(place) {
			const claimPlace = createPlacementClaimer({
				task, place, onOutcome, now,
			});
			return async (admitted, progress) => doAllClaim(reportExchange.alive())
				? claimPlace(admitted, progress)
				: {placement: place(admitted, progress), endClaim: () => undefined};
		},
		stop: task.stop,
	};
}
