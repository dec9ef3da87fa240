import {type IncomingMessage, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {z} from 'zod';
import {Refusal} from '../errors/refusal.js';
import {createRefusalBody} from '../errors/refusal-body.js';
import {sendJson} from '../http/send-json.js';
import {type ConfigSnapshot} from '../publishing/config-snapshot.js';
import {type ModelService} from '../settings/model-service.js';
import {createTimeoutSignal} from '../util/create-timeout-signal.js';
import {completionSchema} from './completion-schema.js';
import {type CompletionRequest} from './completion-request.js';
import {type CompletionRunner} from './completion-runner.js';
import {readPrompt} from './read-prompt.js';
import {type Usage} from './usage.js';

const defaultMaxTokens = 64;
/** Longest time to wait for a caller that does not read its stream. */
const writeTimeoutMs = 30_000;

/** A request whose bearer key has been verified and whose body has been read. */
type AuthenticatedRequest = {
	readonly requestId: string;
	readonly snapshot: ConfigSnapshot;
	readonly workspaces: ReadonlyMap<string, {readonly name: string; readonly weight: number}>;
	readonly text: string;
	readonly receivedAt: number;
	readonly signal: AbortSignal;
};

function findService(snapshot: ConfigSnapshot, name: string): ModelService | undefined {
	return snapshot.services.find((service): service is ModelService =>
		service.kind === 'model' && service.models.some(model => model.name === name));
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		throw new Refusal('bad-request', 'the body is not JSON', 'no');
	}
}

function toRequest(authenticated: AuthenticatedRequest, body: z.infer<typeof completionSchema>): CompletionRequest {
	const service = findService(authenticated.snapshot, body.model);
	const workspace = service && authenticated.workspaces.get(service.service);
	if (!service) {
		throw new Refusal('unknown-model', `model "${body.model.slice(0, 100)}" is not served`, 'no');
	}

	if (!workspace) {
		throw new Refusal('not-allowed', `this key may not use model "${body.model}"`, 'no');
	}

	const prompt = readPrompt(body);
	if (prompt === undefined || prompt === '') {
		throw new Refusal('bad-request', 'the body has neither "prompt" nor "messages"', 'no');
	}

	const requestedTokens = body.max_tokens ?? body.max_completion_tokens ?? defaultMaxTokens;
	return {
		requestId: authenticated.requestId,
		service,
		model: service.models.find(model => model.name === body.model)!,
		workspace,
		prompt,
		maxTokens: Math.min(requestedTokens, service.limits.maxTokens),
		promptCacheKey: body.prompt_cache_key,
		receivedAt: authenticated.receivedAt,
		deadlineAt: authenticated.receivedAt + service.limits.deadlineMs,
		signal: authenticated.signal,
	};
}

/** Layout of the response; text and chat completions differ in their fields. */
type ResponseFormat = {
	readonly object: string;
	readonly chunk: string;
	readonly choice: (text: string, finish: string | null) => unknown;
	readonly delta: (text: string, finish: string | null) => unknown;
};

const textFormat: ResponseFormat = {
	object: 'text_completion',
	chunk: 'text_completion',
	choice: (text, finish) => ({index: 0, text, finish_reason: finish}),
	delta: (text, finish) => ({index: 0, text, finish_reason: finish}),
};

const chatFormat: ResponseFormat = {
	object: 'chat.completion',
	chunk: 'chat.completion.chunk',
	choice: (text, finish) => ({index: 0, message: {role: 'assistant', content: text}, finish_reason: finish}),
	delta: (text, finish) => ({index: 0, delta: text === '' ? {} : {content: text}, finish_reason: finish}),
};

function toUsage({promptTokens, cachedTokens, completionTokens}: Usage): unknown {
	return {
		prompt_tokens: promptTokens,
		completion_tokens: completionTokens,
		total_tokens: promptTokens + completionTokens,
		prompt_tokens_details: {cached_tokens: cachedTokens},
	};
}

async function writeEvent(res: ServerResponse, data: unknown, signal: AbortSignal): Promise<void> {
	if (!res.write(`data: ${typeof data === 'string' ? data : JSON.stringify(data)}\n\n`)) {
		await once(res, 'drain', {signal: AbortSignal.any([signal, createTimeoutSignal(writeTimeoutMs)])});
	}
}

/** Ends a started stream with an error event. A stream without `[DONE]` is an incomplete response. */
function endWithError(res: ServerResponse, error: unknown): void {
	const refusal = error instanceof Refusal ? error : new Refusal('internal', 'internal error', 'unknown');
	res.end(`event: error\ndata: ${JSON.stringify(createRefusalBody(refusal))}\n\n`);
}

async function sendStream(res: ServerResponse, request: CompletionRequest, format: ResponseFormat, run: CompletionRunner): Promise<void> {
	const base = {
		id: request.requestId, object: format.chunk, created: Math.floor(request.receivedAt / 1000), model: request.model.name,
	};
	const writeHeadOnce = (): void => {
		if (!res.headersSent) {
			res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		}
	};

	try {
		const usage = await run(request, async text => {
			writeHeadOnce();
			await writeEvent(res, {...base, choices: [format.delta(text, null)]}, request.signal);
		});
		writeHeadOnce();
		await writeEvent(res, {...base, choices: [format.delta('', 'stop')], usage: toUsage(usage)}, request.signal);
		res.end('data: [DONE]\n\n');
	} catch (error) {
		if (!res.headersSent) {
			throw error;
		}

		endWithError(res, error);
		throw error;
	}
}

async function sendWhole(res: ServerResponse, request: CompletionRequest, format: ResponseFormat, run: CompletionRunner): Promise<void> {
	const parts: string[] = [];
	const usage = await run(request, async text => {
		parts.push(text);
	});
	sendJson(res, 200, {
		id: request.requestId,
		object: format.object,
		created: Math.floor(request.receivedAt / 1000),
		model: request.model.name,
		choices: [format.choice(parts.join(''), 'stop')],
		usage: toUsage(usage),
	});
}

/** Creates the handler of completion requests. */
export function createCompletionHandler(run: CompletionRunner) {
	return async (req: IncomingMessage, res: ServerResponse, authenticated: AuthenticatedRequest): Promise<void> => {
		const parsed = completionSchema.safeParse(parseJson(authenticated.text));
		if (!parsed.success) {
			throw new Refusal('bad-request', z.prettifyError(parsed.error), 'no');
		}

		const request = toRequest(authenticated, parsed.data);
		const format = req.url!.startsWith('/v1/chat/') ? chatFormat : textFormat;
		const respond = parsed.data.stream === true ? sendStream : sendWhole;
		await respond(res, request, format, run);
	};
}
