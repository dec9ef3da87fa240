/* eslint-disable camelcase -- names of the users' wire */
import {setTimeout as sleep} from 'node:timers/promises';
import {createHosts} from './create-hosts.mjs';
import {createStore} from './create-store.mjs';
import {createStreamEngine} from './create-stream-engine.mjs';
import {followStream} from './follow-stream.mjs';

const names = ['front-a-1', 'front-a-2', 'front-b-1', 'front-b-2'];
const cutName = 'front-a-1';
const key = 'key-1';
const events = 40;
const eventMs = 100;
const streamsPerS = 20;
/** 4 x the objective of 800 ms. */
const maxGapMs = 3200;
const minStreams = 100;

const configuration = {
	version: 3,
	routes: [{
		name: 'draft', host: 'desk.example', path_prefix: '/draft/', kind: 'streaming', timeout_ms: 15_000, goal_ms: 800, gap_target_ms: 300, priority: 2, service: 'draft',
		max_attempts: 3, allow_anonymous: false, sticky: false, resumable: true,
	}],
	services: [{
		name: 'draft', health_path: '/health', max_conns: 370, protocol: 'h1', tls: false,
	}],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: [{name: 'tenant-1', api_keys: [key]}],
};

/**
Plays streams beside a release: three engines of one software version serve, two of the next one join. One host is cut off from the store and the other hosts for
5.5 s, and killed 0.3 s before the end. Its callers take their streams up at the other hosts.

@param downMs - How long the killed host is down.
@returns The streams, each with its events and tries.
*/
export async function playRelease({
	record, folder, hasTrouble, onStop, downMs,
}) {
	/** Set once the hosts run. */
	const cluster = {rewriteFor: (_viewer, text) => text};
	const store = createStore((viewer, kind, spec) => kind === 'hemlockpier-hosts' ? JSON.parse(cluster.rewriteFor(viewer, JSON.stringify(spec))) : spec);
	onStop(store.stop);
	const addEngine = async (id, zone, version) => {
		record({engine: id, version, what: 'registers'});
		const {stop} = await createStreamEngine({
			id, service: 'draft', zone, version, store, events, eventMs,
			onRun(run) {
				record({run});
			},
		});
		onStop(stop);
	};

	store.put('config', 'main', configuration);
	await addEngine('i-1', 'zone-a', 'v1');
	await addEngine('i-2', 'zone-b', 'v1');
	await addEngine('i-3', 'zone-a', 'v1');
	const hosts = await createHosts({
		cluster,
		names, zoneOf: name => name.startsWith('front-a') ? 'zone-a' : 'zone-b', openStore: store.open, folder,
		onExit(name, code, signal) {
			record({
				host: name, what: 'ended by itself', code, signal,
			});
		},
	});
	onStop(hosts.stop);
	await hosts.waitUntilReady();
	await sleep(1500);
	// A planned restart before there is any traffic: a host's first start is not the one that it serves in.
	await Promise.all(names.map(async name => hosts.restart(name)));
	await hosts.waitUntilReady();
	await sleep(2500);

	const streams = [];
	let isOver = false;
	const generate = async () => {
		for (let count = 0; !isOver; count++) {
			const name = names[count % names.length];
			const others = names.filter(other => other !== name && other !== cutName);
			streams.push(followStream({
				choosePort(attempt) {
					const chosen = attempt === 0 ? name : others[(count + attempt) % others.length];
					return {name: chosen, port: hosts.get(chosen).callers};
				},
				path: '/draft/terms', key, deadlineMs: 15_000, maxGapMs, record,
			}));
			await sleep(1000 / streamsPerS);
		}
	};

	const generating = generate();
	await sleep(2000);
	await addEngine('i-4', 'zone-b', 'v2');
	await addEngine('i-5', 'zone-a', 'v2');
	await sleep(3000);
	if (hasTrouble) {
		record({host: cutName, what: 'partitioned from the store and the other hosts'});
		hosts.cutOff(cutName);
	}

	await sleep(5200);
	let restarting;
	if (hasTrouble) {
		record({host: cutName, what: 'killed'});
		restarting = hosts.kill(cutName, downMs);
		await sleep(300);
		record({host: cutName, what: 'partition heals'});
		hosts.heal(cutName);
	}

	await sleep(2500);
	isOver = true;
	await generating;
	const played = await Promise.all(streams);
	await restarting;
	if (played.length < minStreams) {
		throw new Error(`only ${played.length} streams were played`);
	}

	return played;
}
