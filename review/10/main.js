/* eslint camelcase: off -- The names on the wire are those of the platform's pages. */
/** The hosts of a zone are stopped and started in turn during a release, while the store is down: requests that a stopping host has passed on are cut. */
import {createCaller} from '../6/kit/client.js';
import {
	createRoute, hostName, startDeployment,
} from '../6/kit/deployment.js';
import {startHost} from '../6/kit/host.js';
import {play} from '../6/kit/play.js';
import {sleep} from '../6/kit/tools.js';

const zone = 'zone-b';
const callersOfKind = {check: 8, lookup: 15, reserve: 15};
const maxPauseMs = 800;
const requestsPerConnection = 4;
const deadlineMs = 2500;
const lossSlackMs = 200;
const steadyMs = 5000;
const graceMs = 8000;
/** Time between two stops. */
const gapMs = 1000;
const restartMs = 500;
/** The store goes silent this long before the first stop. */
const beforeStopMs = 500;
const storeDownMs = 8000;
/** After each outage; the hosts are in touch again then. */
const afterMs = 5000;
const rounds = 3;

/** What an engine does for a request, by the first part of its path. */
function work({url}) {
	return url.startsWith('/check/') ? {pieces: 2, gapMs: 40} : {workMs: 120};
}

await play(import.meta.dirname, async ({record, folder, stoppers, hasTrouble}) => {
	const route = {timeout_ms: deadlineMs, goal_ms: 400, max_attempts: 1};
	const {store, hosts, balancer, areReady, reached} = await startDeployment({
		record, folder, stoppers, hostZones: ['zone-a', zone, zone, zone], hasKeys: false,
		routes: [
			createRoute({
				...route, name: 'check', path_prefix: '/check/', kind: 'streaming', service: 'model', resumable: true, sticky: true,
			}),
			createRoute({
				...route, name: 'lookup', path_prefix: '/lookup/', kind: 'idempotent',
			}),
			createRoute({...route, name: 'reserve', path_prefix: '/reserve/'}),
		],
		services: [{name: 'booking', versions: ['v1', 'v1', 'v1'], work}, {name: 'model', versions: ['v1', 'v2'], work}],
	});
	if (!areReady) {
		return 2;
	}

	const outcomes = [];
	let isOver = false;
	const call = async (kind, index) => {
		const caller = createCaller({
			host: hostName, requestsPerConnection, onEvent({type, id, address, status, isComplete, error = ''}) {
				record.add(type === 'sent' ? `sent ${id} to ${address}` : `${id} ended, status ${status}, whole ${isComplete} ${error}`);
			},
		});
		for (let number = 0; !isOver; number++) {
			await sleep(Math.random() * maxPauseMs);
			const outcome = await caller.send({
				id: `${kind}-${index}-${number}`, path: `/${kind}/segment`, body: kind === 'lookup' ? '' : 'segment', method: kind === 'lookup' ? 'GET' : 'POST',
				deadlineMs, to: () => balancer.choose(zone, index).settings.callers,
			});
			outcomes.push({...outcome, kind});
		}

		caller.end();
	};

	const stops = [];
	const processes = new Map(hosts.map(host => [host.settings, host]));
	const stopAndStart = async settings => {
		const host = processes.get(settings);
		record.add(`SIGTERM to ${settings.name}`);
		stops.push({address: settings.callers, at: performance.now()});
		host.signal('SIGTERM');
		await Promise.race([host.exited, sleep(graceMs)]);
		host.signal('SIGKILL');
		record.add(`${settings.name} has ended`);
		await sleep(restartMs);
		const next = startHost(settings, folder);
		processes.set(settings, next);
		stoppers.push(() => next.signal('SIGKILL'));
	};

	const calls = Object.entries(callersOfKind).flatMap(([kind, count]) => Array.from({length: count}, async (_, index) => call(kind, index)));
	await sleep(steadyMs);
	for (let round = 0; round < rounds; round++) {
		record.add(hasTrouble ? 'the store is down' : 'the store stays up');
		store.faults.isSilent = hasTrouble;
		const storeEnd = sleep(storeDownMs);
		await sleep(beforeStopMs);
		const stopping = [];
		for (const {settings} of hosts.filter(host => host.settings.domain === zone)) {
			stopping.push(stopAndStart(settings));
			await sleep(gapMs);
		}

		await Promise.all(stopping);
		await storeEnd;
		store.faults.isSilent = false;
		record.add('the store is up');
		await sleep(afterMs);
	}

	isOver = true;
	await Promise.all(calls);

	const isAtStop = ({address, sentAt, endedAt}) => stops.some(stop => stop.address === address && endedAt > stop.at && sentAt < stop.at + graceMs + 1000);
	const lost = outcomes.filter(outcome => outcome.kind !== 'check' && isAtStop(outcome) && outcome.wasSent && !outcome.isComplete && outcome.error !== 'deadline'
		&& (reached.has(outcome.id) || outcome.endedAt - outcome.sentAt > lossSlackMs));
	const served = outcomes.filter(({status, isSealed}) => status === 200 && isSealed);
	record.add(`${outcomes.length} requests, ${served.length} served, ${lost.length} lost: ${lost.map(({id, error}) => `${id} (${error})`).join(' ')}`);
	if (served.length === 0) {
		return 2;
	}

	return lost.length > 0 ? 1 : 0;
});
