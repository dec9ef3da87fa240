import {parseAddress} from '../http/parse-address.js';
import {readCpuUs} from '../observe/read-cpu-us.js';
import {type createGatewayMetrics} from './create-gateway-metrics.js';
import {createStatusServer} from './create-status-server.js';

const usPerS = 1e6;

/** What the status servers show. */
type StatusServersOptions = {
	/** Address of the readiness check, `IP:PORT`. */
	readonly readiness: string;
	readonly readinessPath: string;
	readonly isReady: () => boolean;
	/** Address for callers, `IP:PORT`; metrics are served on its host. */
	readonly callers: string;
	readonly metricsPort: number;
	readonly metrics: ReturnType<typeof createGatewayMetrics>;
	/** Returns the number of requests in flight. */
	readonly underWay: () => number;
	/** Bound on the connections of each server. */
	readonly maxConnections: number;
	/** Called before the metrics are read. */
	readonly recordGauges: () => void;
};

/** Opens the servers for the balancer's readiness check and for metrics. */
export async function openStatusServers(options: StatusServersOptions): Promise<{readonly stop: () => void}> {
	const {readiness, readinessPath, isReady, callers, metricsPort, metrics, underWay, maxConnections, recordGauges} = options;
	const limits = {
		maxConnections,
		onLimit(reason: string) {
			metrics.callerLimitsTotal.inc({reason});
		},
	};
	const readinessServer = await createStatusServer(readiness, [
		{path: readinessPath, answer: () => ({status: isReady() ? 200 : 503, text: ''})},
	], limits);
	const {host} = parseAddress(callers);
	const metricsServer = await createStatusServer(`${host}:${metricsPort}`, [{
		path: '/metrics',
		async answer() {
			recordGauges();
			metrics.underWay.set(underWay());
			metrics.cpuSeconds.remove({job: 'all'});
			metrics.cpuSeconds.inc({job: 'all'}, readCpuUs() / usPerS);
			return {status: 200, text: await metrics.registry.metrics()};
		},
	}], limits);
	return {
		stop() {
			readinessServer.stop();
			metricsServer.stop();
		},
	};
}
