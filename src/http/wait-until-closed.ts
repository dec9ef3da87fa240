import {type ServerResponse} from 'node:http';

/** Resolves once a response has been passed to the network whole, or its connection is closed. */
export async function waitUntilClosed(res: ServerResponse): Promise<void> {
	if (res.closed) {
		return;
	}

	await new Promise<void>(resolve => {
		res.once('close', resolve);
	});
}
