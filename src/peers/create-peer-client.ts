import {randomUUID} from 'node:crypto';
import {JSONRPCClient, JSONRPCErrorException, type JSONRPCResponse} from 'json-rpc-2.0';
import {Agent, request} from 'undici';
import {PeerUnreachableError} from '../errors/peer-unreachable-error.js';
import {Refusal} from '../errors/refusal.js';
import {type ErrorKind} from '../errors/error-kind.js';
import {type ExecutionStatus} from '../errors/execution-status.js';
import {type TlsCredentials} from '../settings/tls-credentials.js';
import {type PeerRpc} from './peer-rpc.js';

const defaultTimeoutMs = 1000;
const connectTimeoutMs = 1000;

/** What a refusal carries over JSON-RPC. */
type RefusalData = {
	readonly kind: ErrorKind;
	readonly ran: ExecutionStatus;
	readonly retryAfterMs?: number;
};

/** The caller of peers and the switch of its keys. */
type PeerClient = {
	readonly call: PeerRpc;
	readonly setTlsCredentials: (credentials: TlsCredentials) => void;
	readonly stop: () => Promise<void>;
};

/**
Creates the caller of peers: JSON-RPC over HTTP, with mutual TLS when `keys` are given.

@param isPartitioned - Says whether an address is cut off by a fault switch.
@param onCall - Called with the method and the length of each call.
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
			throw new PeerUnreachableError(address, method, 'cut off');
		}

		const timeout = AbortSignal.timeout(timeoutMs);
		const combinedSignal = signal ? AbortSignal.any([timeout, signal]) : timeout;
		// The library turns a failed transfer into an error answer; the failure is kept to tell the two apart.
		let failure: unknown;
		const send = async (payload: unknown): Promise<JSONRPCResponse> => {
			const text = JSON.stringify(payload);
			onCall(method, text.length);
			const {body} = await request(`${scheme}://${address}/rpc`, {
				method: 'POST', body: text, headers: {'content-type': 'application/json'}, signal: combinedSignal, dispatcher: agent,
			});
			return await body.json() as JSONRPCResponse;
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
