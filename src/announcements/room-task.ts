import {type PermitResult} from './permit-result.js';
import {type RoomRequest} from './room-request.js';

/** A slot of a brittle upstream for one request. */
type Room = {
	readonly isGranted: boolean;
	/** Gives the slot back once the request has ended. */
	readonly release: () => void;
};

/** Slots of upstreams that state that they are brittle. */
export type RoomTask = {
	/** Takes a slot of an upstream for a request; without one, the upstream is closed to this host for a time. Granted at once where it is not brittle. */
	readonly acquire: (upstreamId: string, requestId: string) => Promise<Room>;
	/** Answers another host. */
	readonly answer: (request: RoomRequest) => PermitResult;
};
