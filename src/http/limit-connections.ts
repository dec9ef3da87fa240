import {type Server} from 'node:http';
import {Server as TlsServer} from 'node:https';
import {type Socket} from 'node:net';
import {type LimitReason} from '../callers/limit-reason.js';
import {selectConnectionToClose} from '../decide/bodies/select-connection-to-close.js';

/** Options of `limitConnections`. */
type ConnectionLimitOptions = {
	readonly maxConnections: number;
	/** Whether a connection has a request under way. */
	readonly isBusy: (socket: Socket) => boolean;
	/** Frees a connection of a request that does not move; returns whether there was one. */
	readonly freeOne: () => boolean;
	/** Called for each connection that is closed because of the bound. */
	readonly onLimit: (reason: LimitReason) => void;
};

/** Bounds the open connections of a server. At the bound, one that is not in use is closed for each new one; if all are, the new one is closed. */
export function limitConnections(server: Server | TlsServer, {maxConnections, isBusy, freeOne, onLimit}: ConnectionLimitOptions): void {
	const open = new Set<Socket>();
	const served = new WeakSet<Socket>();
	server.on('request', ({socket}) => {
		served.add(socket);
	});
	// Handshakes under way are bounded by the system's own count of connections.
	const isTls = server instanceof TlsServer;
	if (isTls) {
		server.maxConnections = 2 * maxConnections;
	}

	server.on(isTls ? 'secureConnection' : 'connection', (socket: Socket) => {
		if (open.size >= maxConnections) {
			const closing = selectConnectionToClose(open, each => {
				if (each.writableEnded) {
					return 'ending';
				}

				if (isBusy(each)) {
					return 'busy';
				}

				return served.has(each) ? 'idle' : 'silent';
			});
			if (closing) {
				onLimit('connection-not-in-use');
				open.delete(closing);
				closing.destroy();
			} else if (!freeOne()) {
				onLimit('connections-in-use');
				socket.destroy();
				return;
			}
		}

		open.add(socket);
		socket.once('close', () => open.delete(socket));
	});
}
