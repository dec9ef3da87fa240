import {createServer as createHttpServer, type RequestListener, type Server} from 'node:http';
import {createServer as createHttpsServer, type Server as TlsServer} from 'node:https';
import {JSONRPCErrorException, JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import {Refusal} from '../errors/refusal.js';
import {listen} from '../http/listen.js';
import {parseAddress} from '../http/parse-address.js';
import {readBody} from '../http/read-body.js';
import {sendJson} from '../http/send-json.js';
import {log} from '../observe/log.js';
import {type TlsCredentials} from '../settings/tls-credentials.js';
import {type PeerHandlers} from './peer-handlers.js';

const maxBodyBytes = 8 * 1024 * 1024;
/** JSON-RPC error code of a refusal. */
const refusalErrorCode = -32_001;

/** The server that answers calls of other hosts. */
type PeerServer = {
	readonly port: number;
	readonly setTlsCredentials: (credentials: TlsCredentials) => void;
	readonly stop: () => Promise<void>;
};

function toRpcError(error: unknown): JSONRPCErrorException {
	if (error instanceof Refusal) {
		const {kind, ran, retryAfterMs} = error;
		return new JSONRPCErrorException(error.message, refusalErrorCode, {kind, ran, ...(retryAfterMs === undefined ? {} : {retryAfterMs})});
	}

	log.error({error: String((error as Error).stack)}, 'peer method failed');
	return new JSONRPCErrorException('internal error', refusalErrorCode, {kind: 'internal', ran: 'unknown'});
}

/**
Starts the server for JSON-RPC calls of other hosts. With `credentials`, it accepts only peers whose certificate was
issued by the authority in `credentials`.

@param isPartitioned - Returns whether a fault switch cuts off all peers.
*/
export async function createPeerServer(
	address: string,
	credentials: TlsCredentials | undefined,
	handlers: Partial<PeerHandlers>,
	isPartitioned: () => boolean,
): Promise<PeerServer> {
	const rpc = new JSONRPCServer({errorListener: () => undefined});
	for (const [method, handle] of Object.entries(handlers)) {
		rpc.addMethod(method, async (params: unknown) => {
			try {
				return await handle((params ?? {}) as never);
			} catch (error) {
				throw toRpcError(error);
			}
		});
	}

	const handleRequest: RequestListener = async (req, res) => {
		try {
			if (isPartitioned()) {
				res.destroy();
				return;
			}

			const response = await rpc.receive(JSON.parse(await readBody(req, maxBodyBytes)) as JSONRPCRequest);
			// A partition that began during the call loses the response.
			if (isPartitioned()) {
				res.destroy();
				return;
			}

			sendJson(res, 200, response);
		} catch (error) {
			sendJson(res, 400, {error: String(error)});
		}
	};

	const tlsServer = credentials ? createHttpsServer({...credentials, requestCert: true, rejectUnauthorized: true}, handleRequest) : undefined;
	const server: Server | TlsServer = tlsServer ?? createHttpServer(handleRequest);
	const port = await listen(server, parseAddress(address));
	return {
		port,
		setTlsCredentials(newCredentials) {
			tlsServer?.setSecureContext(newCredentials);
		},
		async stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
