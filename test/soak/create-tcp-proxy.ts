import {connect, createServer, type Socket} from 'node:net';
import {parseAddress} from '../../src/http/parse-address.js';
import {type LinkFaults} from './link-faults.js';

const flushMs = 20;
const emptyChunk = Buffer.alloc(0);

/** A loopback TCP proxy in front of one address. */
export type TcpProxy = {
	readonly address: string;
	readonly state: LinkFaults;
	/** Resets all open connections. */
	readonly resetConnections: () => void;
	/** Resets all open connections and refuses new ones for `downMs`, then calls `onRestart`. */
	readonly crash: (downMs: number, onRestart: () => void) => void;
	/** Returns the number of open connections. */
	readonly countConnections: () => number;
	/** Stops forwarding on all open connections permanently; new connections work. */
	readonly blackholeConnections: () => void;
	/** Cuts off the clients with some local ports until the returned function is called. */
	readonly cutOff: (cut: ClientCut) => () => void;
	readonly stop: () => void;
};

/** How some clients are cut off: their connections hang or are reset, and so are new ones. */
type ClientCut = {
	/** Returns the local ports of such clients. */
	readonly listPorts: () => ReadonlySet<number>;
	readonly how: 'silent' | 'reset';
};

/** One direction of a connection. */
type Pipe = {
	readonly target: Socket;
	readonly isBlocked: () => boolean;
	readonly waiting: Array<{readonly at: number; readonly bytes: Buffer | undefined}>;
};

/** A connection through the proxy. */
type OpenConnection = {
	readonly pipes: readonly Pipe[];
	readonly end: () => void;
	isBlackholed: boolean;
};

/** Starts the proxy on a given port of the loopback address. */
export async function createTcpProxy(port: number, target: string): Promise<TcpProxy> {
	const state: LinkFaults = {
		isInboundBlocked: false, isOutboundBlocked: false, delayMs: 0, refusesConnections: false,
	};
	const openConnections = new Map<Socket, OpenConnection>();
	const cuts = new Set<ClientCut>();
	const findCut = ({remotePort = 0}: Socket): ClientCut | undefined => [...cuts].find(({listPorts}) => listPorts().has(remotePort));
	const {host, port: targetPort} = parseAddress(target);

	const flush = ({target: to, isBlocked, waiting}: Pipe): void => {
		while (waiting.length > 0 && !isBlocked() && waiting[0]!.at <= performance.now()) {
			const {bytes} = waiting.shift()!;
			if (bytes) {
				to.write(bytes);
			} else {
				to.end();
			}
		}
	};

	const createPipe = (from: Socket, to: Socket, isBlocked: () => boolean): Pipe => {
		const pipe: Pipe = {target: to, isBlocked, waiting: []};
		const enqueue = (bytes: Buffer | undefined): void => {
			pipe.waiting.push({at: performance.now() + state.delayMs, bytes});
			flush(pipe);
		};

		from.on('data', enqueue).on('end', () => {
			// A reset along with the last bytes is reported as an end; only a write fails then, and an error follows.
			from.write(emptyChunk, error => {
				if (!error) {
					enqueue(undefined);
				}
			});
		});
		return pipe;
	};

	const server = createServer({allowHalfOpen: true, noDelay: true}, clientSocket => {
		const cut = findCut(clientSocket);
		if (state.refusesConnections || cut?.how === 'reset') {
			clientSocket.resetAndDestroy();
			return;
		}

		const targetSocket = connect({
			host, port: targetPort, allowHalfOpen: true, noDelay: true,
		});
		const end = (): void => {
			clientSocket.resetAndDestroy();
			targetSocket.resetAndDestroy();
			openConnections.delete(clientSocket);
		};

		const entry: OpenConnection = {
			pipes: [
				createPipe(clientSocket, targetSocket, () => entry.isBlackholed || state.isInboundBlocked),
				createPipe(targetSocket, clientSocket, () => entry.isBlackholed || state.isOutboundBlocked),
			],
			end,
			isBlackholed: cut !== undefined,
		};
		openConnections.set(clientSocket, entry);
		for (const socket of [clientSocket, targetSocket]) {
			// A blocked or blackholed connection does not propagate resets.
			socket.on('error', () => {
				if (!entry.isBlackholed && !state.isInboundBlocked && !state.isOutboundBlocked) {
					end();
				}
			});
			socket.on('close', () => {
				if (clientSocket.destroyed && targetSocket.destroyed) {
					openConnections.delete(clientSocket);
				} else if (!entry.isBlackholed && !state.isInboundBlocked && !state.isOutboundBlocked && entry.pipes.every(({waiting}) => waiting.length === 0)) {
					setTimeout(end, flushMs).unref();
				}
			});
		}
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	const timer = setInterval(() => {
		for (const {pipes} of openConnections.values()) {
			for (const pipe of pipes) {
				flush(pipe);
			}
		}
	}, flushMs);
	const resetConnections = (): void => {
		for (const {end} of openConnections.values()) {
			end();
		}
	};

	let hasStopped = false;
	return {
		address: `127.0.0.1:${port}`,
		state,
		resetConnections,
		crash(downMs, onRestart) {
			if (!server.listening) {
				return;
			}

			server.close();
			resetConnections();
			setTimeout(() => {
				if (!hasStopped) {
					server.listen(port, '127.0.0.1', onRestart);
				}
			}, downMs);
		},
		countConnections: () => openConnections.size,
		blackholeConnections() {
			for (const entry of openConnections.values()) {
				entry.isBlackholed = true;
			}
		},
		cutOff(cut) {
			cuts.add(cut);
			const ports = cut.listPorts();
			for (const [socket, entry] of openConnections) {
				if (!ports.has(socket.remotePort ?? 0)) {
					continue;
				}

				if (cut.how === 'reset') {
					entry.end();
				} else {
					entry.isBlackholed = true;
				}
			}

			return () => {
				cuts.delete(cut);
			};
		},
		stop() {
			hasStopped = true;
			clearInterval(timer);
			server.close();
			resetConnections();
		},
	};
}
