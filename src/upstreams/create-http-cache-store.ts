import {callJson} from '../http/call-json.js';
import {type CacheStoreEntry} from './cache-store-entry.js';
import {type CacheStore} from './cache-store.js';

const callTimeoutMs = 3000;

/** Creates a client of the cache store at `url`. */
export function createHttpCacheStore(url: string): CacheStore {
	return {
		async reserve(key, bytes, tag) {
			const {status, body} = await callJson(`${url}/reserve`, {body: {key, bytes, tag}, timeoutMs: callTimeoutMs});
			return status === 200 ? body as {readonly block: number; readonly generation: number} : undefined;
		},
		async seal(block, generation, checksum) {
			const {status} = await callJson(`${url}/blocks/${block}/seal?generation=${generation}`, {body: {checksum}, timeoutMs: callTimeoutMs});
			return status === 200;
		},
		async free(block, generation) {
			const {status} = await callJson(`${url}/blocks/${block}/free?generation=${generation}`, {method: 'POST', timeoutMs: callTimeoutMs});
			return status === 200;
		},
		async list(after, tags) {
			const {body} = await callJson(`${url}/list?after=${after}&tags=${tags.join(',')}`, {timeoutMs: callTimeoutMs});
			return body as {readonly seq: number; readonly entries: readonly CacheStoreEntry[]};
		},
	};
}
