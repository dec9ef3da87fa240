import {type ColdPermitTask} from '../announcements/cold-permit-task.js';
import {type ReportedColdness} from '../announcements/reported-coldness.js';
import {type ReportedLimit} from '../announcements/reported-limit.js';
import {type RoomTask} from '../announcements/room-task.js';
import {type KvStoreTracker} from '../forwarding/kv-store-tracker.js';
import {type WeightAge} from '../decide/weights/weight-age.js';
import {createLeaseHandler} from '../object-store/create-lease-handler.js';
import {type createStateSync} from '../object-store/create-state-sync.js';
import {type LeaseStore} from '../object-store/lease-store.js';
import {type UpstreamChecks} from '../poison/upstream-checks.js';
import {type StreamVersions} from '../streams/stream-versions.js';
import {type PeerHandlers} from './peer-handlers.js';

/** The tasks of a gateway host that answer other hosts. */
type GatewayTasks = {
	readonly stateSync: Pick<ReturnType<typeof createStateSync>, 'answer'>;
	/** The lease of roll-outs in the store; other hosts reach it through this one. */
	readonly ownLease: Pick<LeaseStore, 'read' | 'write'>;
	/** Returns the newest epoch of the store. */
	readonly currentEpoch: () => number;
	/** Returns what upstreams say of themselves. */
	readonly listStatements: () => readonly ReportedLimit[];
	/** Returns the upstreams that this host takes to be cold. */
	readonly listCold: () => readonly ReportedColdness[];
	/** Returns for how long versions of weights have been the desired ones. */
	readonly listWeightAges: () => readonly WeightAge[];
	readonly rooms: Pick<RoomTask, 'answer'>;
	readonly permits: Pick<ColdPermitTask, 'answer' | 'answerCold'>;
	readonly upstreamChecks: Pick<UpstreamChecks, 'answer'>;
	readonly streams: Pick<StreamVersions, 'answer'>;
	readonly kvStoreTracker: Pick<KvStoreTracker, 'listEvents'>;
};

/** Creates the methods by which the other hosts ask a gateway host. */
export function createGatewayMethods({
	stateSync, ownLease, currentEpoch, listStatements, listCold, listWeightAges, rooms, permits, upstreamChecks, streams, kvStoreTracker,
}: GatewayTasks): Partial<PeerHandlers> {
	return {
		'gateway.state': async query => ({states: stateSync.answer(query)}),
		'gateway.lease': createLeaseHandler({ownLease, currentEpoch}),
		'gateway.statements': async () => ({statements: listStatements(), cold: listCold()}),
		'gateway.weightAges': async () => ({ages: listWeightAges()}),
		'gateway.room': async request => rooms.answer(request),
		'gateway.permit': async request => permits.answer(request),
		'gateway.coldPermit': async request => permits.answerCold(request),
		'gateway.upstreamUp': async ({id, startedAt}) => ({opinion: await upstreamChecks.answer(id, startedAt)}),
		'gateway.streamVersion': async search => streams.answer(search),
		'gateway.kept': async ({store, known}) => kvStoreTracker.listEvents(store, known),
	};
}
