import {readEngineStatus} from '../grants/read-engine-status.js';
import {type EngineStatus} from '../grants/engine-status.js';
import {createLease} from '../decide/orders/create-lease.js';
import {planOrders} from '../decide/orders/plan-orders.js';
import {type PlannedOrder} from '../decide/orders/planned-order.js';
import {type MembershipTask} from '../membership/membership-task.js';
import {type OwnerResolver} from '../membership/owner-resolver.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type Platform} from '../platform/platform.js';
import {type ConfigSnapshot} from '../publishing/config-snapshot.js';
import {type ModelService} from '../settings/model-service.js';
import {type Engine} from '../upstreams/engine.js';
import {type Clocks} from '../util/clocks.js';
import {type Stop} from '../util/stop.js';
import {type DomainStatus} from './domain-status.js';

const renewIntervalMs = 3000;
const reconcileIntervalMs = 1000;
const statusIntervalMs = 5000;

/** Value of the lease object in the platform. */
type LeaseValue = {
	readonly holder: string;
	readonly fencing: number;
};

/** Options of `createDomainControllerTask`. */
type DomainControllerTaskOptions = {
	readonly self: string;
	readonly domain: string;
	readonly platform: Platform;
	readonly owners: OwnerResolver;
	readonly membership: MembershipTask;
	readonly snapshot: () => ConfigSnapshot | undefined;
	readonly engineAt: (url: string) => Engine;
	readonly clocks: Clocks;
};

/** The running domain controller. */
type DomainControllerTask = {
	readonly isLeaseHolder: () => boolean;
	readonly stop: Stop;
};

/**
Starts the domain controller. On the host that the owner resolver selects, it acquires and renews the domain's lease; while
holding the lease, it sends load and unload orders to engines and writes the domain's status to the platform.
*/
export function createDomainControllerTask(options: DomainControllerTaskOptions): DomainControllerTask {
	const {self, domain, platform, owners, membership, snapshot, engineAt, clocks} = options;
	const leaseKey = `lease/${domain}`;
	/** `lease.fencing` returns the fencing token only while this host holds the lease. */
	const lease = createLease(clocks.monotonic());
	const busyEngines = new Set<string>();
	let statusVersion = 0;

	/** Returns whether this host should acquire the lease when it is free. */
	const isCandidate = (): boolean => owners.inDomain(domain, 'lease')?.name === self;

	const renew = async (): Promise<void> => {
		const started = {held: clocks.suspendAware(), wait: clocks.monotonic()};
		const isHeld = lease.fencing(started.held) !== undefined;
		if (!isHeld && !isCandidate()) {
			return;
		}

		try {
			if (!isHeld) {
				const object = await platform.read(leaseKey);
				lease.observe(object?.version ?? 0, object ? (JSON.parse(object.value) as LeaseValue).fencing : 0, clocks.monotonic());
			}

			if (!isHeld && !lease.canAcquire(clocks.monotonic())) {
				return;
			}

			const fencing = isHeld ? lease.latestFencingToken() : lease.latestFencingToken() + 1;
			const version = await platform.write(leaseKey, JSON.stringify({holder: self, fencing}), lease.version());
			if (version === undefined) {
				lease.markLost();
			} else {
				lease.recordRenewal(version, fencing, started);
			}
		} catch (error) {
			log.debug({error: String(error)}, 'lease renewal failed');
		}
	};

	const sendOrder = async (engineName: string, engine: Engine, order: PlannedOrder): Promise<void> => {
		const fencing = lease.fencing(clocks.suspendAware());
		if (fencing === undefined) {
			return;
		}

		busyEngines.add(engineName);
		try {
			const result = await engine.sendOrder({kind: order.kind, what: order.what, fencing});
			log.info({...order, fencing, result}, 'order sent');
		} catch (error) {
			logFailure(error, {...order}, 'order failed');
		} finally {
			busyEngines.delete(engineName);
		}
	};

	/** Returns an engine's status as last published by its owner; owners poll engines, so the lease holder doesn't need to. */
	const statusOf = (engine: string): EngineStatus | undefined =>
		readEngineStatus(membership.gossip, domain, engine);

	const reconcileService = (service: ModelService): void => {
		const upstreams = service.upstreams.filter(upstream => upstream.domain === domain);
		const desired = service.models.map(model => `${model.name}@${model.version}`);
		const states = upstreams.map(({name}) => {
			const status = statusOf(name);
			return {
				engine: name, loaded: status?.loaded ?? [], isUp: status?.isUp ?? false, busy: busyEngines.has(name),
			};
		});
		for (const order of planOrders(desired, states, service.concurrentLoads)) {
			const {url} = upstreams.find(upstream => upstream.name === order.engine)!;
			void sendOrder(order.engine, engineAt(url), order);
		}
	};

	const reconcile = (): void => {
		if (lease.fencing(clocks.suspendAware()) === undefined) {
			return;
		}

		for (const service of snapshot()?.services ?? []) {
			if (service.kind === 'model') {
				reconcileService(service);
			}
		}
	};

	const writeStatus = async (): Promise<void> => {
		if (lease.fencing(clocks.suspendAware()) === undefined) {
			return;
		}

		const hosts = membership.members().filter(member => member.domain === domain);
		const status: DomainStatus = {
			domain, at: Date.now(), holder: self, revision: snapshot()?.revision ?? 0, hosts,
		};
		try {
			const version = await platform.write(`status/${domain}`, JSON.stringify(status), statusVersion);
			const current = version === undefined ? await platform.read(`status/${domain}`) : {version};
			statusVersion = current?.version ?? 0;
		} catch (error) {
			log.debug({error: String(error)}, 'domain status could not be written');
		}
	};

	const timers = [
		setInterval(() => {
			void renew();
		}, renewIntervalMs),
		setInterval(reconcile, reconcileIntervalMs),
		setInterval(() => {
			void writeStatus();
		}, statusIntervalMs),
	];
	const firstRun = setTimeout(async () => {
		await renew();
		await writeStatus();
	}, reconcileIntervalMs);

	return {
		isLeaseHolder: () => lease.fencing(clocks.suspendAware()) !== undefined,
		async stop() {
			clearTimeout(firstRun);
			for (const timer of timers) {
				clearInterval(timer);
			}
		},
	};
}
