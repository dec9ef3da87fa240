import {type ResponseHead} from '../../src/forwarding/response-head.js';
import {type UpstreamConnectionPool} from '../../src/forwarding/upstream-connection-pool.js';

/** Sends a request that may run once on a connection of the pool; returns the head of its response, `undefined` without one. */
export async function sendOnPool(pool: UpstreamConnectionPool, id: string): Promise<ResponseHead | undefined> {
	return new Promise(resolve => {
		let head: ResponseHead | undefined;
		pool.send({
			id, method: 'GET', target: '/', headers: ['Request-Id', id], body: undefined,
		}, {
			onHead(received) {
				head = received;
			},
			onData: () => true,
			onEnd() {
				resolve(head);
				return true;
			},
			onFail() {
				resolve(head);
			},
		});
	});
}
