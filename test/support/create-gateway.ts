import {createServer, type AddressInfo} from 'node:net';
import {adapter} from '../../platform/adapter.js';
import {gatewaySettingsSchema} from '../../src/settings/gateway-settings-schema.js';
import {startGateway} from '../../src/wire-gateway.js';

/** A gateway host that runs in this process. */
export type TestGateway = Awaited<ReturnType<typeof startGateway>> & {
	/** `IP:PORT` for callers. */
	readonly callers: string;
	readonly readiness: string;
	readonly peers: string;
};

async function findPort(): Promise<number> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** Starts a gateway host on free ports. */
export async function createGateway(objectStore: string, changed: Record<string, unknown> = {}): Promise<TestGateway> {
	const [callers, readiness, peers, reports, metricsPort] = await Promise.all([1, 2, 3, 4, 5].map(async () => findPort()));
	const settings = gatewaySettingsSchema.parse({
		name: `host-${callers}`,
		domain: 'domain-a',
		region: 'region-a',
		callers: `127.0.0.1:${callers}`,
		readiness: `127.0.0.1:${readiness}`,
		peers: `127.0.0.1:${peers}`,
		reports: `127.0.0.1:${reports}`,
		metricsPort,
		memoryMb: 256,
		objectStore,
		...changed,
	});
	const gateway = await startGateway(settings, adapter);
	return {
		...gateway, callers: settings.callers, readiness: settings.readiness, peers: settings.peers,
	};
}
