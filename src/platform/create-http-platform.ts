import {PlatformUnavailableError} from '../errors/platform-unavailable-error.js';
import {callJson} from '../http/call-json.js';
import {type JsonResponse} from '../http/json-response.js';
import {type ListedHost} from './listed-host.js';
import {type PlatformObject} from './platform-object.js';
import {type Platform} from './platform.js';

const callTimeoutMs = 2000;
/** Added to the wait of a watch before the call itself times out. */
const watchTimeoutMarginMs = 2000;

/**
Creates a client of the platform's object API.

@param url - Base URL.
@param onCall - Called with the kind of each call, to count calls by kind.
*/
export function createHttpPlatform(url: string, onCall: (kind: string) => void = () => undefined): Platform {
	const call = async (kind: string, path: string, options: {method?: 'PUT'; body?: unknown; headers?: Record<string, string>; timeoutMs?: number} = {}): Promise<JsonResponse> => {
		onCall(kind);
		const tookEffect = kind === 'write' ? 'unknown' : 'no';
		let response: JsonResponse;
		try {
			response = await callJson(`${url}${path}`, {timeoutMs: callTimeoutMs, ...options});
		} catch (error) {
			const isConnectionRefused = (error as {code?: string}).code === 'ECONNREFUSED';
			throw new PlatformUnavailableError(`platform ${kind} ${path}: ${String(error)}`, isConnectionRefused ? 'no' : tookEffect);
		}

		if (response.status >= 500 || response.status === 429) {
			throw new PlatformUnavailableError(`platform ${kind} ${path}: status ${response.status}`, response.status === 429 ? 'no' : tookEffect);
		}

		return response;
	};

	return {
		async read(key) {
			const {status, body} = await call('read', `/objects/${encodeURIComponent(key)}`);
			return status === 404 ? undefined : body as PlatformObject;
		},
		async write(key, value, expected) {
			const {status, body} = await call('write', `/objects/${encodeURIComponent(key)}`, {
				method: 'PUT',
				body: {value},
				headers: {'if-match': String(expected)},
			});
			return status === 412 ? undefined : (body as PlatformObject).version;
		},
		async watch(key, after, waitMs) {
			const query = `after=${after}&waitMs=${waitMs}`;
			const {status, body} = await call('watch', `/watch/${encodeURIComponent(key)}?${query}`, {timeoutMs: waitMs + watchTimeoutMarginMs});
			return status === 204 ? undefined : body as PlatformObject;
		},
		async list(prefix) {
			const {body} = await call('list', `/objects?prefix=${encodeURIComponent(prefix)}`);
			return body.keys as readonly string[];
		},
		async hosts() {
			const {body} = await call('hosts', '/hosts');
			return body.hosts as readonly ListedHost[];
		},
	};
}
