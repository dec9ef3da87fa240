import {appendFileSync} from 'node:fs';
import {type Deployment} from '../replay/deployment.js';
import {type TraceRequest} from '../replay/trace-request.js';
import {type ConfigSnapshot} from '../publishing/config-snapshot.js';
import {type ModelService} from '../settings/model-service.js';

const charactersPerToken = 4;
/** Properties of engines, stores and the network that a host does not know but `replay` needs. */
const assumedDecodeStepMs = 12;
const assumedDecodeStepMsPerExtraRequest = 0.5;
const assumedCachePieces = 300;
const assumedStorePieces = 10_000;
const assumedHostLatencyMs = 1.5;

/** Records the requests that a host serves, without prompt text, as a trace for `replay`. */
type TraceRecorder = {
	/** Records a served request. */
	readonly record: (request: Omit<TraceRequest, 'kind' | 'at'>) => void;
};

function toTraceService(service: ModelService): Deployment['services'][number] {
	const [first] = service.upstreams;
	return {
		name: service.service,
		weight: service.weight,
		engines: service.upstreams.length,
		slots: first!.slots,
		prefillTokensPerS: first!.prefillTokensPerS,
		stepMs: assumedDecodeStepMs,
		stepAddedMs: assumedDecodeStepMsPerExtraRequest,
		cachePieces: assumedCachePieces,
		pieceTokens: Math.ceil(service.pieceCharacters / charactersPerToken),
		pieceBytes: service.pieceBytes,
		linkBytesPerS: service.stores[0]?.linkBytesPerS ?? 1,
		memoryPieces: service.stores.length * assumedStorePieces,
		diskPieces: 0,
		deadlineMs: service.limits.deadlineMs,
		queueLimit: service.limits.queued,
		cost: service.cost,
		workspaces: service.workspaces.map(({name, weight}) => ({name, weight})),
	};
}

/** Creates the recorder of a host, which appends to `file`. The deployment is written before the first request. */
export function createTraceRecorder(file: string, name: string, snapshot: () => ConfigSnapshot | undefined, countHosts: () => number): TraceRecorder {
	let startedAt: number | undefined;
	const write = (line: unknown): void => {
		appendFileSync(file, `${JSON.stringify(line)}\n`);
	};

	return {
		record(request) {
			if (startedAt === undefined) {
				startedAt = Date.now();
				const services = (snapshot()?.services ?? []).filter((service): service is ModelService => service.kind === 'model');
				const deployment: Deployment = {
					kind: 'deployment', name, hosts: countHosts(), delayMs: assumedHostLatencyMs, services: services.map(service => toTraceService(service)),
				};
				write(deployment);
			}

			write({kind: 'request', at: Date.now() - startedAt, ...request});
		},
	};
}
