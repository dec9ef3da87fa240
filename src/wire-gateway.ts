import {createWindowBudget} from './decide/retries/create-window-budget.js';
import {createCallerPort} from './forwarding/create-caller-port.js';
import {createForwarder} from './forwarding/create-forwarder.js';
import {createGatewayMetrics} from './forwarding/create-gateway-metrics.js';
import {createKindWatch} from './forwarding/create-kind-watch.js';
import {createPlacer} from './forwarding/create-placer.js';
import {createStatusPort} from './forwarding/create-status-port.js';
import {createUpstreamBook} from './forwarding/create-upstream-book.js';
import {type GatewayAdapter} from './forwarding/gateway-adapter.js';
import {type GatewayState} from './forwarding/gateway-state.js';
import {prepareConfiguration} from './forwarding/prepare-configuration.js';
import {type StoredObject} from './forwarding/stored-object.js';
import {type Upstream} from './forwarding/upstream.js';
import {parseAddress} from './http/parse-address.js';
import {log} from './observe/log.js';
import {type GatewaySettings} from './settings/gateway-settings.js';
import {memoize} from './util/memoize.js';
import {sleep} from './util/sleep.js';

const msPerS = 1000;
/** Bounds how long a change goes unnoticed where a connection to the store has gone silent. */
const watchMs = 2000;
/** The balancer takes a host out after two questions a second apart. */
const leaveMs = 2500;
/** Time kept of the grace for closing down. */
const exitMarginMs = 700;
const assumedHosts = 8;
const leastConnections = 4;

/** A running gateway host. */
type Gateway = {
	/** Stops taking new callers, finishes the requests under way and stops. */
	readonly drain: () => Promise<void>;
	readonly stop: () => Promise<void>;
};

/** Wires the parts of one gateway host together and starts it. */
export async function startGateway(settings: GatewaySettings, adapter: GatewayAdapter): Promise<Gateway> {
	const {name, domain, bounds} = settings;
	const now = (): number => performance.now();
	const {random} = Math;
	const metrics = createGatewayMetrics();
	const {kinds} = adapter;

	let state: GatewayState | undefined;
	let isDraining = false;
	const hosts = (): number => assumedHosts;

	const store = adapter.openStore(settings.objectStore, method => {
		metrics.storeCalls.inc({method});
	});
	const connectionsOf = (service: string): number => {
		const found = state?.configuration.services.find(candidate => candidate.name === service);
		return Math.max(leastConnections, Math.floor((found?.maxConnections ?? 0) / hosts()));
	};

	const book = createUpstreamBook({
		now, connectionsOf,
		link: (upstream, connections) => adapter.openLink(upstream.address, connections, () => {
			metrics.connections.inc({service: upstream.service});
		}),
	});

	const takeConfiguration = (objects: readonly StoredObject[]): void => {
		for (const {value, revision} of objects) {
			const configuration = adapter.decodeConfiguration(value);
			if (!configuration) {
				log.warn({revision}, 'configuration can not be read, the one in force stays');
			} else if (configuration.version > (state?.configuration.version ?? -1)) {
				state = prepareConfiguration(configuration);
				log.info({
					version: configuration.version, revision, routes: configuration.routes.length, services: configuration.services.length,
				}, 'configuration in force');
			}
		}
	};

	const ignored = new Set<string>();
	const takeUpstreams = (objects: readonly StoredObject[]): void => {
		const upstreams: Upstream[] = [];
		for (const object of objects) {
			const upstream = adapter.decodeUpstream(object);
			if (upstream) {
				upstreams.push(upstream);
			} else if (!ignored.has(object.name)) {
				ignored.add(object.name);
				log.warn({entry: object.name, revision: object.revision}, 'entry of the upstream list can not be read, ignored');
			}
		}

		book.apply(upstreams);
	};

	const watchKind = (kind: string, onChange: (objects: readonly StoredObject[]) => void) => createKindWatch({
		kind, store, now, random, waitMs: watchMs, onChange,
	});
	const watches = [watchKind(kinds.configuration, takeConfiguration), watchKind(kinds.upstreams, takeUpstreams)];

	const budgetOf = memoize((_service: string) => createWindowBudget({
		ratio: bounds.retryRatio, slack: bounds.retrySlack, windowMs: bounds.retryWindowS * msPerS, hosts,
	}));
	const forward = createForwarder({
		book, budgetOf, now, random,
		place: createPlacer({
			domain, book, now, random,
		}),
		encode: adapter.encodeRequest,
		onEnd({route}, result, tookMs) {
			metrics.ended.inc({kind: route.kind, result});
			metrics.took.observe({kind: route.kind}, tookMs / msPerS);
		},
	});
	const callers = await createCallerPort({
		address: settings.callers,
		state: () => state,
		decode: adapter.decodeRequest,
		nameRequest: adapter.nameRequest,
		forward,
		now,
		onRefusal(refusal) {
			metrics.refusals.inc({kind: refusal.kind});
		},
	});
	const isReady = (): boolean => !isDraining && state !== undefined && book.all().length > 0;
	const readiness = await createStatusPort(settings.readiness, [
		{path: adapter.readinessPath, answer: () => ({status: isReady() ? 200 : 503, text: ''})},
	]);
	const {host} = parseAddress(settings.callers);
	const metricsPort = await createStatusPort(`${host}:${settings.metricsPort}`, [{
		path: '/metrics',
		async answer() {
			metrics.underWay.set(callers.underWay());
			return {status: 200, text: await metrics.registry.metrics()};
		},
	}]);

	const stop = async (): Promise<void> => {
		for (const watch of watches) {
			watch.stop();
		}

		callers.stop();
		readiness.stop();
		metricsPort.stop();
		await store.stop();
	};

	log.info({
		host: name, domain, callers: settings.callers, store: settings.objectStore,
	}, 'host started');
	return {
		async drain() {
			if (isDraining) {
				return;
			}

			isDraining = true;
			callers.drain();
			log.info({host: name, underWay: callers.underWay()}, 'leaving');
			const limitMs = (bounds.graceS * msPerS) - exitMarginMs;
			const startedAt = now();
			await sleep(Math.min(leaveMs, limitMs));
			callers.closeIdle();
			await Promise.race([callers.idle(), sleep(limitMs - (now() - startedAt))]);
			log.info({host: name, underWay: callers.underWay()}, 'left');
			await stop();
		},
		stop,
	};
}
