import {type Socket} from 'node:net';

/** Past this, the sender gives up. */
const maxSentBytes = 256 * 1024 * 1024;
const pieceBytes = 64 * 1024;

/** Writes `text` again and again, as fast as the peer reads; resolves with the number of bytes written once the connection is closed. */
export async function sendEndlessly(socket: Socket, text: string): Promise<number> {
	const piece = text.repeat(Math.ceil(pieceBytes / text.length));
	let sentBytes = 0;
	return new Promise(resolve => {
		const fill = (): void => {
			while (!socket.destroyed) {
				sentBytes += piece.length;
				if (sentBytes > maxSentBytes) {
					socket.destroy();
				} else if (!socket.write(piece)) {
					return;
				}
			}
		};

		socket.on('drain', fill);
		socket.once('close', () => {
			resolve(sentBytes);
		});
		fill();
	});
}
