import {request} from 'undici';
import {readServerSentEvents} from '../../src/upstreams/read-server-sent-events.js';
import {generateToken} from '../../src/stand-ins/generate-token.js';

/** A streamed completion as its caller received it. */
export type CompletionResult = {
	readonly status: number;
	readonly text: string;
	/** Whether the stream ended with `[DONE]`. */
	readonly isWhole: boolean;
	/** Error of the refusal body, or of the error event that ended the stream. */
	readonly error: {readonly kind: string; readonly ran: string; readonly retryAfterMs?: number} | undefined;
	readonly cachedTokens: number;
	readonly requestId: string;
};

/** Sends a streaming completion request to the address `callers` and reads the response to its end. */
export async function requestCompletion(callers: string, key: string, body: Readonly<Record<string, unknown>>, headers: Readonly<Record<string, string>> = {}): Promise<CompletionResult> {
	const response = await request(`http://${callers}/v1/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers},
		body: JSON.stringify({model: 'small', stream: true, ...body}),
		bodyTimeout: 120_000,
		headersTimeout: 120_000,
	});
	const requestId = String(response.headers['x-request-id']);
	if (response.statusCode !== 200) {
		const {error} = await response.body.json() as {readonly error: CompletionResult['error']};
		return {
			status: response.statusCode, text: '', isWhole: false, error, cachedTokens: 0, requestId,
		};
	}

	let text = '';
	let isWhole = false;
	let cachedTokens = 0;
	let error: CompletionResult['error'];
	for await (const data of readServerSentEvents(response.body)) {
		if (data === '[DONE]') {
			isWhole = true;
			break;
		}

		const event = JSON.parse(data);
		error = event.error ?? error;
		text += String(event.choices?.[0]?.text ?? '');
		cachedTokens = event.usage?.prompt_tokens_details.cached_tokens ?? cachedTokens;
	}

	return {
		status: 200, text, isWhole, error, cachedTokens, requestId,
	};
}

/** Returns the text that a stand-in engine generates for `prompt`. */
export function expectedCompletionText(prompt: string, tokens: number, version = 'v1'): string {
	return Array.from({length: tokens}, (_, index) => generateToken('small', version, prompt, index)).join('');
}
