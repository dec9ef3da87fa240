import {type Socket} from 'node:net';
import {buildConnector} from 'undici';
import {memoize} from '../util/memoize.js';

/** What is known of the connection that an HTTP client opened last. The HTTP library reports some failed connections as the end of a response. */
type ConnectionObserver = {
	/** Opens connections for the HTTP client. */
	readonly connect: buildConnector.connector;
	/** Whether the connection has failed. */
	readonly hasFailed: () => boolean;
	/** Resolves whether the connection was reset; to be called once a response has ended whose end is marked only by the end of its connection. */
	readonly detectReset: () => Promise<boolean>;
};

const createConnector = memoize(timeoutMs => buildConnector({timeout: Number(timeoutMs), allowHalfOpen: true}));
const emptyChunk = Buffer.alloc(0);

/**
Node.js reports a reset that arrives with the last bytes as an orderly end; an empty write fails only on a connection that was reset.
*/
async function isResetAtEnd(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		socket.write(emptyChunk, error => {
			resolve(Boolean(error));
		});
	});
}

/** Creates an observer of the connections of one HTTP client; calls `onConnect` with each connection opened. */
export function createConnectionObserver(connectTimeoutMs: number, onConnect: (socket: Socket) => void = () => undefined): ConnectionObserver {
	const connect = createConnector(String(connectTimeoutMs));
	let hasFailed = false;
	let resetAtEnd: Promise<boolean> | undefined;

	const observe = (socket: Socket): void => {
		hasFailed = false;
		resetAtEnd = undefined;
		socket.once('error', () => {
			hasFailed = true;
		});
		socket.once('end', () => {
			resetAtEnd = isResetAtEnd(socket);
		});
		onConnect(socket);
	};

	return {
		connect(options, callback) {
			connect(options, (...result) => {
				const [, socket] = result;
				if (socket) {
					observe(socket);
				}

				callback(...result);
			});
		},
		hasFailed: () => hasFailed,
		detectReset: async () => resetAtEnd ?? hasFailed,
	};
}
