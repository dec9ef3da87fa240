import {createEngineStandIn} from '../stand-ins/create-engine-stand-in.js';
import {createPlatformStandIn} from '../stand-ins/create-platform-stand-in.js';
import {createServiceStandIn} from '../stand-ins/create-service-stand-in.js';
import {createStoreStandIn} from '../stand-ins/create-store-stand-in.js';
import {findFreePorts} from '../stand-ins/find-free-ports.js';
import {callJson} from '../http/call-json.js';
import {createHttpPlatform} from '../platform/create-http-platform.js';
import {publish} from '../publishing/publish.js';
import {hostSettingsSchema} from '../settings/host-settings-schema.js';
import {parseServiceText} from '../settings/parse-service-text.js';
import {type Stop} from '../util/stop.js';
import {sleep} from '../util/sleep.js';
import {startHost} from '../start-host.js';
import {createDemoServiceTexts} from './create-demo-service-texts.js';

const engineCount = 4;
const hostCount = 4;
/** Interval at which the first host's readiness is checked. */
const readyPollMs = 50;
const controlTimeoutMs = 1000;

/** The running demo. */
type Demo = {
	/** Lines to print for the user. */
	readonly lines: readonly string[];
	readonly stop: Stop;
};

/** Starts a platform, engines, a store, a plain service and four hosts in two failure domains, all in this process. */
export async function startDemo(listen: string): Promise<Demo> {
	const platform = await createPlatformStandIn();
	const engines = await Promise.all(Array.from({length: engineCount}, async () => createEngineStandIn()));
	const store = await createStoreStandIn();
	const service = await createServiceStandIn();
	const texts = createDemoServiceTexts({engines: engines.map(engine => engine.url), store: store.url, service: service.url});
	const files = texts.map((text, index) => ({file: `demo-${index}`, text, service: parseServiceText(`demo-${index}`, text)}));
	await publish(createHttpPlatform(platform.url), files, 'demo');

	const ports = await findFreePorts(hostCount * 3);
	const settings = Array.from({length: hostCount}, (_, index) => hostSettingsSchema.parse({
		name: `host-${index + 1}`,
		region: 'demo',
		domain: index % 2 === 0 ? 'east' : 'west',
		callers: index === 0 ? listen : `127.0.0.1:${ports[index * 3]!}`,
		peers: `127.0.0.1:${ports[(index * 3) + 1]!}`,
		operators: `127.0.0.1:${ports[(index * 3) + 2]!}`,
		platform: platform.url,
		drainMs: 0,
	}));
	const hosts = settings.map(({name, domain, peers}) => ({
		name, domain, peers, leaving: false,
	}));
	await callJson(`${platform.url}/control`, {body: {hosts}, timeoutMs: controlTimeoutMs});
	await sleep(1);
	const runningHosts = await Promise.all(settings.map(async host => startHost(host)));
	const [firstSettings] = settings;
	for (;;) {
		const {status} = await callJson(`http://${firstSettings!.operators}/readyz`, {timeoutMs: controlTimeoutMs});
		if (status === 200) {
			break;
		}

		await sleep(readyPollMs);
	}

	const {host, port} = {host: listen.slice(0, listen.lastIndexOf(':')), port: runningHosts[0]!.ports.callers};
	const headers = '-H \'Authorization: Bearer demo-key\' -H \'Content-Type: application/json\'';
	const callersUrl = `http://${host}:${port}`;
	return {
		lines: [
			`callers:   ${callersUrl}`,
			...settings.map(({name, domain, operators}) => `operators: http://${operators} (${name} in ${domain})`),
			`platform:  ${platform.url}`,
			'',
			'Try it:',
			`curl -N ${callersUrl}/v1/completions ${headers} -d '{"model":"small","prompt":"Is conduit segment 7 free?","max_tokens":16,"stream":true}'`,
			`curl ${callersUrl}/services/booking/bookings ${headers} -H 'Idempotency-Key: booking-1' -d '{"lathe":2}'`,
		],
		async stop() {
			await Promise.all(runningHosts.map(async runningHost => runningHost.drain()));
			await Promise.all([platform, store, service, ...engines].map(async standIn => standIn.stop()));
		},
	};
}
