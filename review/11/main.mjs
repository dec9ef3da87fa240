/* eslint-disable camelcase -- names of the users' wire */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createHosts} from '../cluster-3/create-hosts.mjs';
import {createStore} from '../cluster-3/create-store.mjs';
import {createStreamEngine} from '../cluster-3/create-stream-engine.mjs';
import {followStream} from '../cluster-3/follow-stream.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const names = ['front-a-1', 'front-a-2', 'front-b-1', 'front-b-2'];
const cutName = 'front-a-1';
const key = 'key-1';
const events = 40;
const eventMs = 100;
const streamsPerS = 20;
/** 4 x the objective of 800 ms. */
const maxGapMs = 3200;

const startedAt = performance.now();
const lines = [];
const record = line => {
	lines.push(JSON.stringify({ms: Math.round(performance.now() - startedAt), ...line}));
};

const folder = mkdtempSync(path.join(tmpdir(), 'review-11-'));
let hosts;
const store = createStore((viewer, kind, spec) => kind === 'hemlockpier-hosts' ? JSON.parse(hosts.rewriteFor(viewer, JSON.stringify(spec))) : spec);
const engines = [];
const ends = [];

const addEngine = async (id, zone, version) => {
	record({engine: id, version, what: 'registers'});
	engines.push(await createStreamEngine({
		id, service: 'draft', zone, version, store, events, eventMs,
		onRun(run) {
			record({run});
		},
	}));
};

async function play() {
	store.put('config', 'main', {
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
	});
	await addEngine('i-1', 'zone-a', 'v1');
	await addEngine('i-2', 'zone-b', 'v1');
	await addEngine('i-3', 'zone-a', 'v1');
	hosts = await createHosts({
		names, zoneOf: name => name.startsWith('front-a') ? 'zone-a' : 'zone-b', openStore: store.open, folder,
		onExit(name, code, signal) {
			ends.push({name, code, signal});
			record({
				host: name, what: 'ended by itself', code, signal,
			});
		},
	});
	await hosts.waitUntilReady();
	await sleep(1500);
	// A planned restart before there is any traffic: a host's first start is not the one that it serves in.
	await Promise.all(names.map(async name => hosts.restart(name)));
	await hosts.waitUntilReady();
	await sleep(2500);

	const chains = [];
	let isOver = false;
	const generate = async () => {
		for (let count = 0; !isOver; count++) {
			const name = names[count % names.length];
			const others = names.filter(other => other !== name && other !== cutName);
			chains.push(followStream({
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
	// The release: engines of the next software version start beside the old ones.
	await addEngine('i-4', 'zone-b', 'v2');
	await addEngine('i-5', 'zone-a', 'v2');
	await sleep(3000);
	if (hasTrouble) {
		record({host: cutName, what: 'partitioned from the store and the other hosts'});
		hosts.cutOff(cutName);
	}

	await sleep(5200);
	if (hasTrouble) {
		record({host: cutName, what: 'killed'});
		const restarting = hosts.kill(cutName);
		await sleep(300);
		record({host: cutName, what: 'partition heals'});
		hosts.heal(cutName);
		await restarting;
		record({host: cutName, what: 'started again'});
	}

	await sleep(2000);
	isOver = true;
	await generating;
	return Promise.all(chains);
}

let code = 2;
try {
	const chains = await play();
	const mixed = chains.filter(chain => new Set(chain.events.map(({version}) => version)).size > 1);
	const takenUp = chains.filter(({tries}) => tries.length > 1);
	for (const {events: seen, tries} of mixed) {
		const changes = seen.filter(({version}, index) => index === 0 || seen[index - 1].version !== version);
		record({
			what: 'stream holds events of two software versions', versions: changes.map(({id, version, host}) => `from ${id}: ${version} by ${host}`), tries: tries.length,
		});
	}

	record({
		what: 'result', streams: chains.length, complete: chains.filter(({tries}) => tries.at(-1)?.isComplete).length, takenUp: takenUp.length, mixed: mixed.length, endedByThemselves: ends.length,
	});
	code = mixed.length > 2 || ends.length > 0 ? 1 : 0;
	if (chains.length < 100) {
		code = 2;
	}
} catch (error) {
	record({what: 'could not run', error: String(error.stack)});
}

record({what: 'exit', code});
writeFileSync(path.join(import.meta.dirname, 'record.txt'), `${lines.join('\n')}\n`);
console.log(lines.slice(-2).join('\n'));
hosts?.stop();
for (const engine of engines) {
	engine.stop();
}

store.stop();
if (process.env.KEEP === '1') {
	console.log(folder);
} else {
	rmSync(folder, {recursive: true, force: true});
}

process.exit(code);
