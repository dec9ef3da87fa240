import {type ServerResponse} from 'node:http';

/** Resolves once a response has been passed to the network whole, or its connection is closed. */
export async function waitUntilClosed(res: ServerResponse): Promise<void> {
	const {socket} = res.req;
	if (res.closed || socket.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		const settle = (): void => {
			res.off('close', settle);
			socket.off('close', settle);
			resolve();
		};

		res.once('close', settle);
		// A response that waits for an earlier one on its connection does not tell when that is closed.
		socket.once('close', settle);
	});
}
