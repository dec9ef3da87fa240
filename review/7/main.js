/* eslint camelcase: off -- The names on the wire are those of the platform's pages. */
/** During a release the store returns from a copy of before it, and all hosts are killed: streams of the new version go on at the old one. */
import {createCaller} from '../6/kit/client.js';
import {
	createRoute, hostName, key, startDeployment,
} from '../6/kit/deployment.js';
import {startEngine} from '../6/kit/engine.js';
import {startHost} from '../6/kit/host.js';
import {play} from '../6/kit/play.js';
import {findPorts, sleep} from '../6/kit/tools.js';

const work = () => ({pieces: 110, gapMs: 100});
const callersPerHost = 8;
const deadlineMs = 15_000;
/** A caller comes back this often and for so long after its stream has broken off: four times the objective. */
const returnEveryMs = 400;
const maxGapMs = 3200;
const steadyMs = 3000;
/** The store is copied this long before the new engines join. */
const copyAgeMs = 500;
/** Time in which the callers begin their streams after that. */
const beginMs = 3500;
/** From the joining of the new engines to the store's absence. */
const drillAfterMs = 6500;
const storeDownMs = 500;
/** The engines write again what the store has lost. */
const rewriteMs = 1800;
const killAfterMs = 500;
const restartMs = 300;
const maxMixed = 2;

/** Versions of the events in a body. */
function listVersions(body) {
	return [...body.matchAll(/^data: (?<version>\S+) /gmv)].map(({groups}) => groups.version);
}

function findLastId(body) {
	return [...body.matchAll(/^id: (?<id>\d+)$/gmv)].at(-1)?.groups.id;
}

await play(import.meta.dirname, async ({record, folder, stoppers, hasTrouble}) => {
	const {store, engines, hosts, areReady} = await startDeployment({
		record, folder, stoppers,
		routes: [createRoute({
			name: 'draft', path_prefix: '/draft/', kind: 'streaming', service: 'model', resumable: true, sticky: true, timeout_ms: deadlineMs, goal_ms: 800, max_attempts: 2,
		})],
		services: [{name: 'model', versions: ['v1', 'v1'], work}],
	});
	if (!areReady) {
		return 2;
	}

	const streams = [];

	/** Reads a stream; takes it up again where its connection broke, until it is complete or given up. */
	const readStream = async (name, home) => {
		const caller = createCaller({
			key, host: hostName, onEvent({type, id, address, status, isComplete, body, error = ''}) {
				record.add(type === 'sent' ? `sent ${id} to ${address}` : `${id} ended, status ${status}, whole ${isComplete}, versions ${[...new Set(listVersions(body))].join(' ')} ${error}`);
			},
		});
		const stream = {name, versions: [], isWhole: false};
		streams.push(stream);
		let lastId;
		let begunBy;
		let brokeAt = performance.now();
		for (let attempt = 0; !stream.isWhole && performance.now() - brokeAt < maxGapMs; attempt++) {
			const id = `${name}-${attempt}`;
			const {status, body, isComplete} = await caller.send({
				id, path: '/draft/terms', body: 'route file', deadlineMs, to: () => home.settings.callers,
				headers: lastId === undefined ? {} : {'Last-Event-Id': lastId, Resumes: begunBy},
			});
			const versions = status === 200 ? listVersions(body) : [];
			stream.versions.push(...versions);
			stream.isWhole = isComplete && status === 200;
			lastId = findLastId(status === 200 ? body : '') ?? lastId;
			if (versions.length > 0) {
				begunBy ??= id;
				brokeAt = performance.now();
			}

			await sleep(returnEveryMs);
		}

		caller.end();
	};

	await sleep(steadyMs);
	const copy = store.copy();
	await sleep(copyAgeMs);
	const ports = await findPorts('127.0.0.1', 2);
	for (const [index, port] of ports.entries()) {
		const engine = await startEngine({
			store, id: `i-model-new-${index + 1}`, service: 'model', address: `127.0.0.1:${port}`, zone: 'zone-c', version: 'v2', slots: 64, work,
			onEvent({type, id, requestId}) {
				record.add(`engine ${id}: ${type} ${requestId}`);
			},
		});
		engines.push(engine);
		stoppers.push(engine.stop);
	}

	record.add('engines of v2 have joined');
	const drillAt = sleep(drillAfterMs);
	await sleep(copyAgeMs);
	const reads = hosts.flatMap((home, zone) => Array.from({length: callersPerHost}, async (_, index) => {
		await sleep(Math.random() * beginMs);
		await readStream(`c${zone}.${index}`, home);
	}));
	await drillAt;

	const drill = async () => {
		record.add('the store is away');
		store.faults.isSilent = true;
		await sleep(storeDownMs);
		store.restore(copy);
		store.faults.isSilent = false;
		record.add('the store is back from a copy');
		await sleep(rewriteMs);
		await Promise.all(engines.map(async engine => engine.register()));
		record.add('the engines have written their entries again');
	};

	const drilled = hasTrouble ? drill() : undefined;
	await sleep(storeDownMs + killAfterMs);
	record.add('all hosts are killed');
	for (const host of hosts) {
		host.signal('SIGKILL');
	}

	await Promise.all(hosts.map(async host => host.exited));
	await sleep(restartMs);
	for (const {settings} of hosts) {
		const host = startHost(settings, folder);
		stoppers.push(() => host.signal('SIGKILL'));
	}

	await Promise.all([...reads, drilled]);
	const mixed = streams.filter(({versions}) => new Set(versions).size > 1);
	const whole = streams.filter(({isWhole}) => isWhole);
	const began = streams.filter(({versions}) => versions[0] === 'v2');
	record.add(`${streams.length} streams, ${began.length} begun at v2, ${whole.length} whole, ${mixed.length} with events of two versions: ${mixed.map(({name}) => name).join(' ')}`);
	if (began.length === 0) {
		return 2;
	}

	return mixed.length > maxMixed ? 1 : 0;
});
