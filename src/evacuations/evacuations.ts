import {type RemovalRecord} from '../object-store/removal-record.js';
import {type StoredObject} from '../object-store/stored-object.js';
import {type Placement} from '../forwarding/placement.js';

/** The failure domains that the operator has taken out of service, as this host knows them. */
export type Evacuations = {
	/** What the host watches in the store; empty on deployments without evacuations. */
	readonly watched: ReadonlyArray<{
		readonly kind: string;
		readonly removals: RemovalRecord;
		readonly onChange: (objects: readonly StoredObject[], confirmedAt: number | undefined, epoch: number) => void;
	}>;
	/** Whether the entries are known; always on deployments without evacuations. */
	readonly isKnown: () => boolean;
	/** Whether nothing more may be sent to a failure domain. While the entries are not known, this holds for all domains. */
	readonly isEvacuated: (domain: string) => boolean;
	/** Returns the number of failure domains out of service. */
	readonly count: () => number;
	/** Whether a placed request may still be sent: since it was placed, its upstream or one that it fetches from may have been taken out of service. */
	readonly maySend: (requestId: string, service: string, placement: Placement) => boolean;
	/** Returns how a request is refused if upstreams that it could use are out of service; `undefined` if there are none. */
	readonly findRefusal: (service: string, softwareVersion: string | undefined) => {readonly detail: string; readonly retryAfterMs: number} | undefined;
};
