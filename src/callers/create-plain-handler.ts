import {type IncomingMessage, type ServerResponse} from 'node:http';
import {Refusal} from '../errors/refusal.js';
import {type ConfigSnapshot} from '../publishing/config-snapshot.js';
import {type PlainService} from '../settings/plain-service.js';
import {matchRoute} from './match-route.js';
import {type PlainRequest} from './plain-request.js';
import {type PlainRunner} from './plain-runner.js';

/** Maximum length of an idempotency key, in characters. */
const maxKeyLength = 256;

/** A request whose bearer key has been verified and whose body has been read. */
type AuthenticatedRequest = {
	readonly requestId: string;
	readonly snapshot: ConfigSnapshot;
	readonly workspaces: ReadonlyMap<string, {readonly name: string}>;
	readonly text: string;
	readonly receivedAt: number;
	readonly signal: AbortSignal;
};

function toRequest(req: IncomingMessage, authenticated: AuthenticatedRequest): PlainRequest {
	const target = `http://host${req.url}`;
	if (!URL.canParse(target)) {
		throw new Refusal('bad-request', 'the request URL is not valid', 'no');
	}

	const url = new URL(target);
	const [name = '', ...rest] = url.pathname.split('/').slice(2);
	const service = authenticated.snapshot.services.find((candidate): candidate is PlainService => candidate.kind === 'plain' && candidate.service === name);
	if (!service) {
		throw new Refusal('unknown-service', `service "${name.slice(0, 100)}" does not exist`, 'no');
	}

	const workspace = authenticated.workspaces.get(name);
	if (!workspace) {
		throw new Refusal('not-allowed', `this key may not use service "${name}"`, 'no');
	}

	const path = `/${rest.join('/')}`;
	const route = matchRoute(service, req.method!, path);
	if (typeof route === 'string') {
		throw new Refusal(route === 'path' ? 'unknown-route' : 'method-not-allowed', `service "${name}" has no such ${route}`, 'no');
	}

	const idempotencyKey = req.headers['idempotency-key'] as string | undefined;
	if (!route.repeatable && (idempotencyKey === undefined || idempotencyKey === '' || idempotencyKey.length > maxKeyLength)) {
		throw new Refusal('key-required', `this route requires an Idempotency-Key of 1 to ${maxKeyLength} characters`, 'no');
	}

	return {
		requestId: authenticated.requestId,
		service,
		workspace: workspace.name,
		method: route.method,
		path: `${path}${url.search}`,
		isRepeatable: route.repeatable,
		idempotencyKey: route.repeatable ? undefined : idempotencyKey,
		contentType: req.headers['content-type'] ?? 'application/octet-stream',
		body: authenticated.text,
		deadlineAt: authenticated.receivedAt + service.limits.deadlineMs,
		signal: authenticated.signal,
	};
}

/**
Creates the handler of requests to plain services.

@param runRetrying - Runs requests to repeatable routes.
@param runAtMostOnce - Runs requests to all other routes.
*/
export function createPlainHandler(runRetrying: PlainRunner, runAtMostOnce: PlainRunner) {
	return async (req: IncomingMessage, res: ServerResponse, authenticated: AuthenticatedRequest): Promise<void> => {
		const request = toRequest(req, authenticated);
		const {status, contentType, body, isReplay} = await (request.isRepeatable ? runRetrying : runAtMostOnce)(request);
		res.writeHead(status, {
			'content-type': contentType,
			'content-length': String(Buffer.byteLength(body)),
			...(isReplay ? {'idempotent-replayed': 'true'} : {}),
		});
		res.end(body);
	};
}
