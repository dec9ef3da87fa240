import {type IncomingMessage} from 'node:http';

/**
Creates a pause in which the socket of a request is not read, while what was already read still arrives as `data`. `IncomingMessage.pause` would keep each
chunk of that as an object.
*/
export function createSocketPause(req: IncomingMessage): {readonly begin: () => void; readonly end: () => void} {
	const {socket} = req;
	let isPaused = false;

	/** A start of the socket that was requested before the pause is announced after it; the server stops reading at the event `pause`. */
	const stopAgain = (): void => {
		socket.emit('pause');
	};

	return {
		begin() {
			isPaused = true;
			// The stream starts the socket again whenever it wants more bytes.
			req._read = () => undefined;
			socket.pause();
			socket.on('resume', stopAgain);
		},
		end() {
			if (isPaused) {
				isPaused = false;
				Reflect.deleteProperty(req, '_read');
				socket.off('resume', stopAgain);
				socket.resume();
			}
		},
	};
}
