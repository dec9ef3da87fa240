import {sleep} from '../util/sleep.js';
import {serveStandIn} from './serve-stand-in.js';
import {type StandIn} from './stand-in.js';

/** Faults of the stand-in for a plain service, that is, one that is not a model service; set over `POST /control`. */
type ServiceFaults = {
	/** Closes every connection without a response. */
	readonly down: boolean;
	/** Duration of one run, in milliseconds. */
	readonly runMs: number;
	/** Runs each request, then closes the connection without a response. */
	readonly loseAnswers: boolean;
	/** Closes the connection in the middle of the response body. */
	readonly truncate: boolean;
	/** Responds to a repeated idempotency key without another run. */
	readonly checksKeys: boolean;
};

/**
Creates a stand-in for a plain service, that is, one that is not a model service. It counts its runs by idempotency key, and
requests without a key as reads. `GET /counts` returns the counts.
*/
export async function createServiceStandIn(address = '127.0.0.1:0', options: Partial<ServiceFaults> = {}): Promise<StandIn> {
	let faults: ServiceFaults = {
		down: false, runMs: 5, loseAnswers: false, truncate: false, checksKeys: false, ...options,
	};
	const runs: Record<string, number> = {};
	const reads = {count: 0};
	return serveStandIn(address, async ({method, path, headers, body, res}) => {
		if (path === '/control') {
			faults = {...faults, ...body as Partial<ServiceFaults>};
			return [200, {}];
		}

		if (path === '/counts') {
			return [200, {runs, reads: reads.count}];
		}

		if (faults.down) {
			res.destroy();
			return undefined;
		}

		const key = headers['idempotency-key'] as string | undefined;
		if (key === undefined) {
			reads.count++;
		} else if (!faults.checksKeys || runs[key] === undefined) {
			runs[key] = (runs[key] ?? 0) + 1;
		}

		await sleep(faults.runMs);
		if (faults.loseAnswers) {
			res.destroy();
			return undefined;
		}

		if (faults.truncate) {
			res.writeHead(200, {'content-length': '1000'});
			res.write('{"cut":');
			await sleep(5);
			res.destroy();
			return undefined;
		}

		return [200, {
			method, path, body, key: key ?? null,
		}];
	});
}
