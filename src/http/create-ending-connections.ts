import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {countReadBytes} from './count-read-bytes.js';

/** A caller that still sends has this time to read the answer. */
const lingerMs = 1000;
/** The connection closes earlier once so much of the rest of the body has been dropped. */
const lingerBytes = 256 * 1024;

/** Connections that end after an answer, while part of a request's body is unread. */
type EndingConnections = {
	/**
	Lets the connection of a request end after its answer: the answer and the end are sent, then it is destroyed without waiting for the rest of the body. A
	connection destroyed at once would be reset by the bytes not read, and the caller could lose the answer.
	*/
	readonly endAfterAnswer: (req: IncomingMessage) => void;
	/** Returns whether a request that follows on a connection must not be run, since its caller would get no answer. */
	readonly has: (socket: Socket) => boolean;
};

/** Creates the record of a server's ending connections. */
export function createEndingConnections(): EndingConnections {
	const ending = new WeakSet<Socket>();
	return {
		endAfterAnswer(req) {
			const {socket} = req;
			if (ending.has(socket)) {
				return;
			}

			ending.add(socket);
			let droppedBytes = 0;
			req.on('data', (chunk: Buffer) => {
				countReadBytes(chunk.length);
				droppedBytes += chunk.length;
				if (droppedBytes > lingerBytes && socket.writableFinished) {
					socket.destroy();
				}
			});
			socket.destroySoon = () => {
				socket.end();
				const timer = setTimeout(() => {
					socket.destroy();
				}, lingerMs);
				socket.once('close', () => {
					clearTimeout(timer);
				});
			};
		},
		has: socket => ending.has(socket),
	};
}
