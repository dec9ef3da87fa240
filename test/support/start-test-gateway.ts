import {adapter as platformAdapter} from '../../platform/adapter.js';
import {type GatewayAdapter} from '../../src/forwarding/gateway-adapter.js';
import {gatewaySettingsSchema} from '../../src/settings/gateway-settings-schema.js';
import {startGateway} from '../../src/start-gateway.js';
import {findTestPorts} from './find-test-ports.js';

const portsPerHost = 5;

/** A gateway host that runs in the test's process. */
export type TestGateway = Awaited<ReturnType<typeof startGateway>> & {
	/** Address for callers, as `IP:PORT`. */
	readonly callers: string;
	readonly readiness: string;
	readonly peers: string;
	readonly reports: string;
	/** Address of `/metrics`. */
	readonly metrics: string;
};

/** Starts a gateway host on free ports. */
export async function startTestGateway(objectStore: string, overrides: Record<string, unknown> = {}, adapter: GatewayAdapter = platformAdapter): Promise<TestGateway> {
	const [callers, readiness, peers, reports, metricsPort] = await findTestPorts(portsPerHost);
	const settings = gatewaySettingsSchema.parse({
		name: `host-${callers}`,
		domain: 'domain-a',
		region: 'region-a',
		callers: `127.0.0.1:${callers}`,
		readiness: `127.0.0.1:${readiness}`,
		peers: `127.0.0.1:${peers}`,
		reports: `127.0.0.1:${reports}`,
		metricsPort,
		objectStore,
		...overrides,
	});
	const gateway = await startGateway(settings, adapter);
	return {
		...gateway, callers: settings.callers, readiness: settings.readiness, peers: settings.peers, reports: settings.reports,
		metrics: `127.0.0.1:${metricsPort}`,
	};
}
