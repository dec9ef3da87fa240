import {Agent, request} from 'undici';
import {UpstreamResponseError} from '../errors/upstream-response-error.js';
import {callJson} from '../http/call-json.js';
import {type CacheEvents} from './cache-events.js';
import {type EngineEvent} from './engine-event.js';
import {type EngineLoadReport} from './engine-load-report.js';
import {type EngineRequest} from './engine-request.js';
import {type Engine} from './engine.js';
import {isConnectError} from './is-connect-error.js';
import {readServerSentEvents} from './read-server-sent-events.js';

const callTimeoutMs = 2000;
const transferTimeoutMs = 15_000;
const orderTimeoutMs = 30_000;
/** Each run has a connection of its own: a refusal there can't be a copy of an earlier one, and proves that this run did not begin. */
const runAgent = new Agent({pipelining: 0});

/** An event of an engine's stream, as on the wire. */
type WireEvent = {
	readonly id: string;
	readonly index?: number;
	readonly version?: string;
	readonly choices?: ReadonlyArray<{readonly text: string}>;
	readonly usage?: {readonly prompt_tokens: number; readonly cached_tokens: number; readonly completion_tokens: number};
};

/** Creates a timer that aborts `controller` unless `restart` is called within `stallTimeoutMs`. */
function createStallTimer(controller: AbortController, stallTimeoutMs: number): {readonly restart: () => void; readonly clear: () => void} {
	let stallTimer: NodeJS.Timeout | undefined;
	const restart = (): void => {
		clearTimeout(stallTimer);
		stallTimer = setTimeout(() => {
			controller.abort(new Error(`no token for ${stallTimeoutMs} ms`));
		}, stallTimeoutMs);
	};

	restart();
	return {
		restart,
		clear() {
			clearTimeout(stallTimer);
		},
	};
}

/** Checks that an event belongs to this attempt and is the next one; returns `undefined` for a repeated token. */
function checkEvent(engineRequest: EngineRequest, event: WireEvent, next: number): EngineEvent | undefined {
	if (event.id !== engineRequest.attempt) {
		throw new UpstreamResponseError('the stream belongs to another attempt', true, false);
	}

	if (event.usage) {
		const {prompt_tokens: promptTokens, cached_tokens: cachedTokens, completion_tokens: completionTokens} = event.usage;
		return {
			kind: 'end', promptTokens, cachedTokens, completionTokens,
		};
	}

	if (event.version !== engineRequest.version) {
		throw new UpstreamResponseError(`the engine runs version ${event.version}, not ${engineRequest.version}`, true, false);
	}

	const index = event.index ?? -1;
	if (index > next) {
		throw new UpstreamResponseError(`received token ${index}, expected token ${next}`, true, false);
	}

	return index < next ? undefined : {kind: 'token', index, text: event.choices?.[0]?.text ?? ''};
}

async function * runStream(url: string, engineRequest: EngineRequest): AsyncGenerator<EngineEvent> {
	const stallAbort = new AbortController();
	const stallTimer = createStallTimer(stallAbort, engineRequest.stallTimeoutMs);
	const signal = AbortSignal.any([stallAbort.signal, engineRequest.signal]);
	let next = engineRequest.offset;
	let isSent = false;
	let isComplete = false;
	try {
		const {statusCode, body} = await request(`${url}/v1/completions`, {
			dispatcher: runAgent,
			method: 'POST',
			headers: {'content-type': 'application/json', 'x-request-id': engineRequest.requestId},
			body: JSON.stringify({
				model: engineRequest.model, version: engineRequest.version, prompt: engineRequest.prompt, prompt_tokens: engineRequest.promptTokens,
				max_tokens: engineRequest.maxTokens, priority: engineRequest.priority, attempt: engineRequest.attempt, cache_keys: engineRequest.keys,
				offset: engineRequest.offset, stream: true,
			}),
			signal,
		});
		isSent = true;
		if (statusCode !== 200) {
			await body.dump();
			// An engine that responds with 409 or 503 has not run the request.
			throw new UpstreamResponseError(`the engine responded with status ${statusCode}`, statusCode !== 409 && statusCode !== 503, false);
		}

		for await (const data of readServerSentEvents(body)) {
			stallTimer.restart();
			if (data === '[DONE]') {
				break;
			}

			const event = checkEvent(engineRequest, JSON.parse(data) as WireEvent, next);
			if (event?.kind === 'token') {
				next++;
			}

			isComplete ||= event?.kind === 'end';
			if (event) {
				yield event;
			}
		}

		if (!isComplete) {
			throw new UpstreamResponseError('the stream ended before its final event', true, true);
		}
	} catch (error) {
		if (error instanceof UpstreamResponseError) {
			throw error;
		}

		// Without a stall or an abort by the caller, the engine has closed the connection.
		const isConnectionClosed = !signal.aborted;
		throw new UpstreamResponseError(String(error), isSent || !isConnectError(error), isConnectionClosed);
	} finally {
		stallTimer.clear();
		// Cancels an incomplete attempt, so that the engine stops generating.
		if (!isComplete) {
			callJson(`${url}/cancel`, {body: {attempt: engineRequest.attempt}, timeoutMs: callTimeoutMs}).catch(() => undefined);
		}
	}
}

/** Creates a client of the engine at `url`. */
export function createHttpEngine(url: string): Engine {
	return {
		run: engineRequest => runStream(url, engineRequest),
		async report(timeoutMs) {
			const {body} = await callJson(`${url}/load`, {timeoutMs});
			return body as EngineLoadReport;
		},
		async listCacheEvents(after) {
			const {body} = await callJson(`${url}/cache/events?after=${after}`, {timeoutMs: callTimeoutMs});
			return body as CacheEvents;
		},
		async listCachedPieces() {
			const {body} = await callJson(`${url}/cache/list`, {timeoutMs: callTimeoutMs});
			return body as {readonly seq: number; readonly keys: readonly string[]};
		},
		async importPiece({key, block, generation, checksum}, storeUrl, timeoutMs = transferTimeoutMs) {
			const {status, body} = await callJson(`${url}/kv/import`, {
				body: {
					key, store: storeUrl, block, generation,
				}, timeoutMs,
			});
			if (status !== 200 || body.generation !== generation || body.checksum !== checksum) {
				return false;
			}

			const accepted = await callJson(`${url}/kv/accept`, {body: {key}, timeoutMs: callTimeoutMs});
			return accepted.status === 200;
		},
		async exportPiece(key, storeUrl, block, generation) {
			const {status, body} = await callJson(`${url}/kv/export`, {
				body: {
					key, store: storeUrl, block, generation,
				}, timeoutMs: transferTimeoutMs,
			});
			return status === 200 ? body.checksum as string : undefined;
		},
		async sendOrder(order) {
			const {status} = await callJson(`${url}/orders`, {body: order, timeoutMs: orderTimeoutMs});
			if (status >= 500) {
				throw new Error(`the engine responded to the order with status ${status}`);
			}

			return status === 200 ? 'done' : 'refused';
		},
	};
}
