import {buildRawRequest} from './build-raw-request.js';
import {type UpstreamServer} from './create-upstream-server.js';
import {sendRawRequest} from './send-raw-request.js';
import {type TestGateway} from './start-test-gateway.js';

/**
Sends a prompt of two shared parts and one unshared part; returns the KV cache headers that the engine received.

@throws {Error} When the request was refused.
*/
export async function sendPrompt(gateway: TestGateway, engine: UpstreamServer, key = 'key-1'): Promise<Readonly<Record<string, string | undefined>>> {
	const before = engine.receivedRequests.length;
	await sendRawRequest(gateway.callers, buildRawRequest({
		method: 'POST', target: '/ask/x', body: 'prompt', deadlineMs: 4000, key,
		headers: 'Model: m\r\nToken-Count: 3000,64\r\nPrompt-Prefix: aa:500,bb:2000,cc:500\r\n',
	}));
	if (engine.receivedRequests.length === before) {
		throw new Error('the engine received no request');
	}

	const {headers} = engine.receivedRequests.at(-1)!;
	return {
		scope: headers.get('cache-salt'), from: headers.get('kv-fetch'), to: headers.get('kv-save'), until: headers.get('kv-until'), version: headers.get('expect-version'),
	};
}
