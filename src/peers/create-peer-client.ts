import {randomUUID} from 'node:crypto';
import {JSONRPCClient, JSONRPCErrorException, type JSONRPCResponse} from 'json-rpc-2.0';
import {Agent, request} from 'undici';
import {PeerUnreachableError} from '../errors/peer-unreachable-error.js';
import {Refusal} from '../errors/refusal.js';
import {type ErrorKind} from '../errors/error-kind.js';
import {type ExecutionStatus} from '../errors/execution-status.js';
import {readBody} from '../http/read-body.js';
import {type TlsCredentials} from '../settings/tls-credentials.js';
import {createTimeoutSignal} from '../util/create-timeout-signal.js';
import {type PeerRpc} from './peer-rpc.js';

const defaultTimeoutMs = 1000;
const connectTimeoutMs = 1000;
/** A whole snapshot of the stored objects of a large fleet takes some MB. */
const maxResponseBytes = 32 * 1024 * 1024;

/** Data of a JSON-RPC error that represents a refusal. */
type RefusalData = {
	readonly kind: ErrorKind;
	readonly ran: ExecutionStatus;
	readonly retryAfterMs?: number;
};

/** Client for calls to other hosts. */
type PeerClient = {
	readonly call: PeerRpc;
	/** Replaces the credentials; calls in flight complete on the old connections. */
	readonly setTlsCredentials: (credentials: TlsCredentials) => void;
	readonly stop: () => Promise<void>;
};

/**
Creates the client for calls to other hosts: JSON-RPC over HTTP, with mutual TLS when `credentials` are given.

@param isPartitioned - Returns whether a fault switch cuts off an address.
@param onCall - Called with the method of each call and the length of its body.
*/
export function createPeerClient(
	credentials: TlsCredentials | undefined,
	isPartitioned: (address: string) => boolean,
	onCall: (method: string, bytes: number) => void,
): PeerClient {
	const createAgent = (agentCredentials: TlsCredentials | undefined): Agent => new Agent({
		connect: {timeout: connectTimeoutMs, ...(agentCredentials ? {...agentCredentials, checkServerIdentity: () => undefined} : {})},
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	let agent = createAgent(credentials);
	const scheme = credentials ? 'https' : 'http';

	const call: PeerRpc = async (address, method, params, {timeoutMs = defaultTimeoutMs, signal} = {}) => {
		if (isPartitioned(address)) {
			throw new PeerUnreachableError(address, method, 'cut off by a fault switch');
		}

		const timeout = createTimeoutSignal(timeoutMs);
		const combinedSignal = signal ? AbortSignal.any([timeout, signal]) : timeout;
		// The library reports a failed transfer like an error response of the peer; the failure is stored to distinguish the two.
		let failure: unknown;
		const send = async (payload: unknown): Promise<JSONRPCResponse> => {
			const text = JSON.stringify(payload);
			onCall(method, text.length);
			const {body} = await request(`${scheme}://${address}/rpc`, {
				method: 'POST', body: text, headers: {'content-type': 'application/json'}, signal: combinedSignal, dispatcher: agent,
			});
			return JSON.parse(await readBody(body, maxResponseBytes)) as JSONRPCResponse;
		};

		const client: JSONRPCClient = new JSONRPCClient(async payload => {
			try {
				client.receive(await send(payload));
			} catch (error) {
				failure = error;
				throw error;
			}
		}, () => randomUUID());
		try {
			return await client.request(method, params);
		} catch (error) {
			if (error instanceof JSONRPCErrorException && failure === undefined) {
				const data = error.data as RefusalData | undefined;
				throw new Refusal(data?.kind ?? 'internal', error.message, data?.ran ?? 'unknown', data?.retryAfterMs);
			}

			throw new PeerUnreachableError(address, method, failure ?? error);
		}
	};

	return {
		call,
		setTlsCredentials(newCredentials) {
			const previousAgent = agent;
			agent = createAgent(newCredentials);
			void previousAgent.close();
		},
		async stop() {
			await agent.destroy();
		},
	};
}
