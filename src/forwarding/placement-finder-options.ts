import {type RoomTask} from '../announcements/room-task.js';
import {type ClaimedPlacement} from '../claims/claimed-placement.js';
import {type SlidingWindowRetryBudget} from '../decide/retries/sliding-window-retry-budget.js';
import {type Evacuations} from '../evacuations/evacuations.js';
import {type PoisonRequestDetector} from '../poison/poison-request-detector.js';
import {type RelayClient} from '../relay/relay-client.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type AdmittedRequest} from './admitted-request.js';
import {type ForwardingProgress} from './forwarding-progress.js';
import {type Placement} from './placement.js';
import {type Route} from './route.js';

/** Dependencies of the placement finder. */
export type PlacementFinderOptions = {
	readonly registry: Pick<UpstreamRegistry, 'getReach' | 'closedForMs'>;
	readonly evacuations: Pick<Evacuations, 'findRefusal'>;
	readonly crashes: Pick<PoisonRequestDetector, 'findCause'>;
	readonly getRetryBudget: (service: string) => SlidingWindowRetryBudget;
	/** Returns the lowest latency objective, in milliseconds, of the routes to a service that are more urgent than `route`. */
	readonly getUrgentObjectiveMs: (route: Route, service: string) => number | undefined;
	/** Chooses an upstream of a service, and which KV cache the request fetches and saves there. */
	readonly place: (admitted: AdmittedRequest, progress: Pick<ForwardingProgress, 'service' | 'triedUpstreams' | 'softwareVersion'>) => Placement | undefined;
	/** Chooses an upstream and claims a place there; `undefined` where nothing is claimed. */
	readonly claimPlace?: ((admitted: AdmittedRequest, progress: ForwardingProgress) => Promise<ClaimedPlacement>) | undefined;
	/** Returns whether an upstream's limit on requests leaves room for this one now. */
	readonly acquirePermit: (upstreamId: string, requestId: string) => Promise<boolean>;
	/** Takes a slot of an upstream that states that it is brittle. */
	readonly acquireRoom: RoomTask['acquire'];
	/** Probes links that are in doubt since others are lost. */
	readonly confirmCutOff: () => Promise<boolean>;
	readonly relay: Pick<RelayClient, 'chooseHelper'>;
	readonly now: () => number;
	readonly random: () => number;
};
