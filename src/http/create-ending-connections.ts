import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {countReadBytes} from './count-read-bytes.js';

/** A caller that still sends has this time to read the answer. */
const lingerMs = 1000;
/** The connection closes earlier once so much of the rest of the body has been dropped. */
const lingerBytes = 256 * 1024;

/** Connections that end after an answer. */
type EndingConnections = {
	/** Records a request that has arrived; returns whether it may run. It may not where an earlier answer ends its connection, since its caller would get none. */
	readonly accept: (req: IncomingMessage) => boolean;
	/** Returns whether the answer to a request may say that its connection closes, and records that it does. It may not once a later request has been accepted. */
	readonly announceEnd: (req: IncomingMessage) => boolean;
	/**
	Lets the connection of a request, part of whose body is unread, end after its answer: the answer and the end are sent, then it is destroyed without
	waiting for the rest of the body. A connection destroyed at once would be reset by the bytes not read, and the caller could lose the answer.
	*/
	readonly endAfterAnswer: (req: IncomingMessage) => void;
};

/** Creates the record of a server's ending connections. */
export function createEndingConnections(): EndingConnections {
	const ending = new WeakSet<Socket>();
	const announced = new WeakSet<Socket>();
	const latest = new WeakMap<Socket, IncomingMessage>();
	return {
		accept(req) {
			const {socket} = req;
			if (ending.has(socket)) {
				socket.destroy();
				return false;
			}

			latest.set(socket, req);
			return !announced.has(socket);
		},
		announceEnd(req) {
			const isLast = latest.get(req.socket) === req;
			if (isLast) {
				announced.add(req.socket);
			}

			return isLast;
		},
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
	};
}
