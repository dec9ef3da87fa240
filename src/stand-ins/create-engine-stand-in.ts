import {type ServerResponse} from 'node:http';
import {callJson} from '../http/call-json.js';
import {computeSha256} from '../util/compute-sha256.js';
import {sleep} from '../util/sleep.js';
import {generateToken} from './generate-token.js';
import {type EngineFaults} from './engine-faults.js';
import {serveStandIn} from './serve-stand-in.js';
import {type StandIn} from './stand-in.js';

/** Capacity, timing and initial faults of the engine stand-in. */
type EngineOptions = {
	/** Requests that are decoded at the same time. */
	readonly slots?: number;
	/** Prefill speed in tokens per millisecond. */
	readonly prefillTokensPerMs?: number;
	/** Time of a decoding step in milliseconds. */
	readonly stepMs?: number;
	/** Maximum number of cached pieces; beyond it, the least recently used one is evicted. */
	readonly cachePieces?: number;
	/** Time to load weights, in milliseconds. */
	readonly loadMs?: number;
	/** Model versions loaded at start, `model@version`. */
	readonly loaded?: readonly string[];
	readonly faults?: Partial<EngineFaults>;
};

/** Body of a completion request to an engine. */
type CompletionRequestBody = {
	readonly model: string;
	readonly version: string;
	readonly prompt: string;
	readonly max_tokens: number;
	readonly priority: number;
	readonly attempt: string;
	/** Keys of the prompt's pieces, in order. */
	readonly cache_keys: readonly string[];
	readonly prompt_tokens: number;
	/** Index of the first token to send; an earlier attempt sent the tokens before it. */
	readonly offset: number;
};

const pieceDataBytes = 64;
const stallPollMs = 20;

/**
Creates a stand-in for a model engine: streaming completions with continuous batching, a limited prefix cache, resume
and cancel, KV export and import, cache events with gaps, a lagging load report and orders with fencing tokens. `POST /control`
accepts {@link EngineFaults} and `{cutNow: true}`, which closes the connections of all running streams once.
*/
export async function createEngineStandIn(address = '127.0.0.1:0', options: EngineOptions = {}): Promise<StandIn> {
	const {slots = 8, prefillTokensPerMs = 20, stepMs = 10, cachePieces = 400, loadMs = 1300} = options;
	let faults: EngineFaults = {
		down: false, crashMark: '\u0000', restartMs: 1000, cutAfter: -1, endAfter: -1, stallAfter: -1, duplicate: false, crossed: false,
		leaving: false, loadLagMs: 500, dropEvents: 0, checksOrders: true, ...options.faults,
	};
	const cache = new Map<string, true>();
	/** Data of imported pieces by key, as received from the store. */
	const importedData = new Map<string, string>();
	/** Data of the pieces that the host accepted after an import. */
	const acceptedData = new Map<string, string>();
	const loaded = new Set(options.loaded ?? ['small@v1']);
	const running = new Map<string, {readonly res: ServerResponse; cancelled: boolean}>();
	/** Number of completion requests by SHA-256 hash of the prompt. */
	const runs: Record<string, number> = {};
	const reports: Array<{readonly at: number; readonly running: number; readonly queued: number}> = [];
	const slotWaiters: Array<{readonly priority: number; readonly start: () => void}> = [];
	let events: Array<{readonly seq: number; readonly kind: 'added' | 'evicted'; readonly key: string}> = [];
	let seq = 0;
	/** Number of slots in use. */
	let busy = 0;
	let prefillFreeAt = 0;
	/** Newest fencing token that an order had. */
	let fencing = 0;
	let crashes = 0;
	let downUntil = 0;

	const recordCacheEvent = (kind: 'added' | 'evicted', key: string): void => {
		seq++;
		if (faults.dropEvents === 0 || seq % faults.dropEvents !== 0) {
			events.push({seq, kind, key});
			events = events.slice(-2000);
		}
	};

	const cachePiece = (key: string): void => {
		if (!cache.delete(key)) {
			recordCacheEvent('added', key);
		}

		cache.set(key, true);
		if (cache.size > cachePieces) {
			const [oldest] = cache.keys();
			cache.delete(oldest!);
			recordCacheEvent('evicted', oldest!);
		}
	};

	const recordLoad = (): void => {
		reports.push({at: Date.now(), running: busy, queued: slotWaiters.length});
		if (reports.length > 500) {
			reports.splice(0, 250);
		}
	};

	const acquireSlot = async (priority: number): Promise<void> => {
		if (busy < slots) {
			busy++;
			return;
		}

		await new Promise<void>(resolve => {
			slotWaiters.push({priority, start: resolve});
			slotWaiters.sort((a, b) => b.priority - a.priority);
		});
	};

	const releaseSlot = (): void => {
		const next = slotWaiters.shift();
		if (next) {
			next.start();
		} else {
			busy--;
		}

		recordLoad();
	};

	const crash = (): void => {
		crashes++;
		downUntil = Date.now() + faults.restartMs;
		cache.clear();
		for (const {res} of running.values()) {
			res.destroy();
		}
	};

	const prefill = async (request: CompletionRequestBody): Promise<number> => {
		const firstMiss = request.cache_keys.findIndex(key => !cache.has(key));
		const cachedPieces = firstMiss === -1 ? request.cache_keys.length : firstMiss;
		const tokensPerPiece = request.prompt_tokens / Math.max(1, request.cache_keys.length);
		const cachedTokens = Math.floor(cachedPieces * tokensPerPiece);
		const prefillMs = (request.prompt_tokens - cachedTokens) / prefillTokensPerMs;
		prefillFreeAt = Math.max(prefillFreeAt, Date.now()) + prefillMs;
		await sleep(prefillFreeAt - Date.now());
		for (const key of request.cache_keys) {
			cachePiece(key);
		}

		return cachedTokens;
	};

	const stream = async (request: CompletionRequestBody, res: ServerResponse): Promise<void> => {
		const run = {res, cancelled: false};
		running.set(request.attempt, run);
		res.on('close', () => {
			run.cancelled = true;
		});
		res.writeHead(200, {'content-type': 'text/event-stream'});
		res.flushHeaders();
		await acquireSlot(request.priority);
		recordLoad();
		try {
			const cachedTokens = await prefill(request);
			const id = faults.crossed ? 'another-attempt' : request.attempt;
			for (let index = request.offset; index < request.max_tokens && !run.cancelled; index++) {
				if (index === faults.cutAfter) {
					res.destroy();
					return;
				}

				if (index === faults.endAfter) {
					res.end();
					return;
				}

				while (index === faults.stallAfter && !run.cancelled) {
					await sleep(stallPollMs);
				}

				const text = generateToken(request.model, request.version, faults.crossed ? 'another prompt' : request.prompt, index);
				const event = `data: ${JSON.stringify({
					id, index, version: request.version, choices: [{text}],
				})}\n\n`;
				res.write(faults.duplicate ? event + event : event);
				await sleep(stepMs);
			}

			const usage = {prompt_tokens: request.prompt_tokens, cached_tokens: cachedTokens, completion_tokens: request.max_tokens};
			res.end(`data: ${JSON.stringify({id, finish_reason: 'stop', usage})}\n\ndata: [DONE]\n\n`);
		} finally {
			running.delete(request.attempt);
			releaseSlot();
		}
	};

	const handleCompletion = async (request: CompletionRequestBody, res: ServerResponse): Promise<readonly [number, unknown] | undefined> => {
		const key = computeSha256(request.prompt);
		runs[key] = (runs[key] ?? 0) + 1;
		if (!loaded.has(`${request.model}@${request.version}`)) {
			return [409, {error: 'version not loaded'}];
		}

		if (request.prompt.includes(faults.crashMark)) {
			crash();
			res.destroy();
			return undefined;
		}

		await stream(request, res);
		return undefined;
	};

	const importPiece = async (body: {readonly key: string; readonly store: string; readonly block: number; readonly generation: number}): Promise<readonly [number, unknown]> => {
		const response = await callJson(`${body.store}/blocks/${body.block}?generation=${body.generation}`, {timeoutMs: 10_000});
		if (response.status !== 200) {
			return [409, {error: 'store refused the read'}];
		}

		const {data, generation} = response.body as {readonly data: string; readonly generation: number};
		importedData.set(body.key, data);
		return [200, {checksum: computeSha256(data), generation}];
	};

	const exportPiece = async (body: {readonly key: string; readonly store: string; readonly block: number; readonly generation: number}): Promise<readonly [number, unknown]> => {
		if (!cache.has(body.key)) {
			return [404, {error: 'not cached'}];
		}

		const data = `${body.key}:`.padEnd(pieceDataBytes, '.');
		const response = await callJson(`${body.store}/blocks/${body.block}?generation=${body.generation}`, {method: 'PUT', body: {data}, timeoutMs: 10_000});
		return response.status === 200 ? [200, {checksum: computeSha256(data)}] : [409, {error: 'store refused the write'}];
	};

	const handleOrder = async (body: {readonly kind: 'load' | 'unload'; readonly what: string; readonly fencing: number}): Promise<readonly [number, unknown]> => {
		if (faults.checksOrders && body.fencing < fencing) {
			return [409, {error: 'old fencing number', fencing}];
		}

		fencing = Math.max(fencing, body.fencing);
		if (body.kind === 'load') {
			await sleep(loadMs);
			loaded.add(body.what);
		} else {
			loaded.delete(body.what);
		}

		return [200, {loaded: [...loaded]}];
	};

	return serveStandIn(address, async ({path, query, body, res}) => {
		if (path === '/control') {
			const {cutNow, ...changed} = body as Partial<EngineFaults> & {readonly cutNow?: boolean};
			faults = {...faults, ...changed};
			for (const {res: cut} of cutNow ? running.values() : []) {
				cut.destroy();
			}

			return [200, {}];
		}

		if (path === '/counts') {
			return [200, {
				runs, crashes, busy, cached: [...cache.keys()], accepted: Object.fromEntries(acceptedData),
			}];
		}

		if (faults.down || Date.now() < downUntil) {
			res.destroy();
			return undefined;
		}

		switch (path) {
			case '/v1/completions': {
				return handleCompletion(body as CompletionRequestBody, res);
			}

			case '/cancel': {
				const run = running.get((body as {readonly attempt: string}).attempt);
				if (run) {
					run.cancelled = true;
				}

				return [200, {}];
			}

			case '/load': {
				const reportedAt = Date.now() - faults.loadLagMs;
				const laggedReport = reports.findLast(entry => entry.at <= reportedAt) ?? {running: 0, queued: 0};
				return [200, {
					running: laggedReport.running, queued: laggedReport.queued, slots, leaving: faults.leaving, loaded: [...loaded],
				}];
			}

			case '/cache/events': {
				const after = Number(query.get('after'));
				return [200, {seq, events: events.filter(event => event.seq > after)}];
			}

			case '/cache/list': {
				return [200, {seq, keys: [...cache.keys()]}];
			}

			case '/kv/import': {
				return importPiece(body);
			}

			case '/kv/accept': {
				const {key} = body as {readonly key: string};
				acceptedData.set(key, importedData.get(key) ?? '');
				cachePiece(key);
				return [200, {}];
			}

			case '/kv/export': {
				return exportPiece(body);
			}

			case '/orders': {
				return handleOrder(body);
			}

			default: {
				return [404, {error: 'unknown path'}];
			}
		}
	});
}
