import {z} from 'zod';
import {type PeerHandlers} from '../peers/peer-handlers.js';
import {type LeaseStore} from './lease-store.js';

/**
A write of the lease as another host sends it. A field that is not known here is refused: hosts of an earlier build send the
object that they read last in place of a position, whose value then replaces the one to be written.
*/
const leaseWriteSchema = z.strictObject({
	value: z.unknown(),
	revision: z.number().int().min(0),
	epoch: z.number().int().min(0).optional(),
});

/** Dependencies of the lease handler. */
type LeaseHandlerOptions = {
	/** The lease in the store, as this host reaches it. */
	readonly ownLease: Pick<LeaseStore, 'read' | 'write'>;
	/** Returns the newest epoch of the store. */
	readonly currentEpoch: () => number;
};

/**
Creates the handler that reads and writes the lease for a host that can't reach the store.

@throws {z.ZodError} When a write has fields that are not known, or of another type; nothing is written then.
*/
export function createLeaseHandler({ownLease, currentEpoch}: LeaseHandlerOptions): PeerHandlers['gateway.lease'] {
	return async ({write}) => {
		if (!write) {
			return {object: await ownLease.read() ?? null};
		}

		const {value, revision, epoch = currentEpoch()} = leaseWriteSchema.parse(write);
		return {object: await ownLease.write(value, revision === 0 ? undefined : {epoch, revision}) ?? null};
	};
}
