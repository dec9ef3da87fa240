import {createUpstreamServer, sendSignedResponse, type UpstreamServer} from './create-upstream-server.js';

/** A run of a request at the engine. */
type Run = {
	/** When the request arrived, in milliseconds of the monotonic clock. */
	readonly at: number;
	readonly weights: number;
};

/** A stand-in engine of model `m` whose weights a test sets. */
export type WeightedEngine = Pick<UpstreamServer, 'address' | 'stop'> & {
	readonly runs: readonly Run[];
	/** Version of its weights. */
	weights: number;
	/** Whether it accepts orders, and has the new weights at once; else it is always busy. */
	acceptsOrders: boolean;
};

const engineClockStartMs = 5_000_000;

/** Starts the engine on a free port. */
export async function createWeightedEngine(): Promise<WeightedEngine> {
	const server = await createUpstreamServer();
	const runs: Run[] = [];
	let orders = 0;
	const engine: WeightedEngine = {
		address: server.address, stop: server.stop, runs, weights: 1, acceptsOrders: false,
	};

	server.answer = (received, socket) => {
		const answer = (status: string, body: unknown): void => {
			const text = JSON.stringify(body);
			socket.write(`HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`);
		};

		if (received.target === '/v1/report') {
			answer('200 OK', {
				models: [{name: 'm', version: engine.weights}], busy: false, seq: orders, clock_ms: Math.round(engineClockStartMs + performance.now()),
			});
		} else if (received.target === '/v1/order') {
			if (engine.acceptsOrders) {
				orders++;
				engine.weights = (JSON.parse(received.body.toString()) as {readonly version: number}).version;
			}

			answer(engine.acceptsOrders ? '202 Accepted' : '409 Conflict', {});
		} else if (received.headers.has('expect-version') && received.headers.get('expect-version') !== String(engine.weights)) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${received.headers.get('request-id')}\r\nNot-Executed: weights\r\nContent-Length: 0\r\n\r\n`);
		} else {
			if (received.headers.has('model')) {
				runs.push({at: performance.now(), weights: engine.weights});
			}

			sendSignedResponse(received, socket);
		}
	};

	return engine;
}
