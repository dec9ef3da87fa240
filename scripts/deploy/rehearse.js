/**
Runs a host of the bundle in a directory for some seconds in front of stand-ins that speak the platform's wire, so that the code cache which
the host writes holds the functions of a host at work: `node scripts/deploy/rehearse.js DIR FLAG...`. The flags are those that hosts run with.
*/
import {spawn} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import {createServer, request} from 'node:http';
import {createServer as createPortServer} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const rounds = 40;
const roundMs = 60;
const readyLimitMs = 8000;
const endLimitMs = 8000;
/** Registered hosts that never report; with these, hosts collect their reports as in a large fleet. */
const silentHosts = 20;
const [dir, ...flags] = process.argv.slice(2);

const formatAddress = port => `127.0.0.1:${port}`;

async function listen(handle) {
	const server = createServer(handle);
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	server.unref();
	return formatAddress(server.address().port);
}

async function findPort() {
	const server = createPortServer();
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

async function readBody(req) {
	const chunks = [];
	for await (const chunk of req) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString();
}

function sendJson(res, status, body) {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}

/** The platform's store, without conditions and history. */
async function openStore() {
	const kinds = new Map();
	let revision = 1;
	const put = (kind, name, spec) => {
		revision++;
		const object = {metadata: {name, revision}, spec};
		kinds.set(kind, (kinds.get(kind) ?? new Map()).set(name, object));
		return object;
	};

	const list = kind => [...kinds.get(kind)?.values() ?? []];

	const watch = async (url, kind) => {
		const from = Number(url.searchParams.get('watch'));
		const endsAt = performance.now() + Number(url.searchParams.get('wait_ms'));
		const findChanged = () => list(kind).filter(object => object.metadata.revision > from);
		while (findChanged().length === 0 && performance.now() < endsAt) {
			await sleep(roundMs);
		}

		return {events: findChanged().map(object => ({object, removed: false})), as_of: revision};
	};

	const address = await listen(async (req, res) => {
		const url = new URL(req.url, 'http://store');
		const [kind, name] = url.pathname.split('/').slice(3).map(part => decodeURIComponent(part));
		const body = await readBody(req);
		if (req.method !== 'GET') {
			const {metadata, spec} = JSON.parse(body);
			sendJson(res, 200, put(kind, metadata.name, spec));
		} else if (name !== undefined) {
			const object = kinds.get(kind)?.get(name);
			sendJson(res, object ? 200 : 404, object ?? {});
		} else if (url.searchParams.has('watch')) {
			sendJson(res, 200, await watch(url, kind));
		} else {
			sendJson(res, 200, {items: list(kind), has_more: false, as_of: revision});
		}
	});
	return {address, put};
}

/** An engine, and a store of kept KV cache; turns away one request in eight and fails another. */
async function openUpstream() {
	let requests = 0;
	let events = 0;
	const answerCall = (req, res, path) => {
		switch (path) {
			case '/v1/report': {
				sendJson(res, 200, {
					stage: 'both', models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 1, waiting: 0, running: 1,
					kv_used: 10, kv_total: 1000, handles: 0, clock_ms: Date.now(), boot_epoch: 1,
				});

				break;
			}

			case '/v1/kv-list': {
				sendJson(res, 200, {
					boot_epoch: 1, next: events, clock_ms: Date.now(), held: [['s', 'aa', 100, 'm']], partial: [],
				});

				break;
			}

			case '/v1/kv-events': {
				events++;
				setTimeout(sendJson, roundMs, res, 200, {
					boot_epoch: 1, next: events, lost: false, clock_ms: Date.now(), events: [[events, '+', 's', `b${events}`, 100, 'm']],
				});

				break;
			}

			default: {
				sendJson(res, req.method === 'POST' ? 202 : 200, {});
			}
		}
	};

	return listen(async (req, res) => {
		const path = req.url.split('?')[0];
		await readBody(req);
		if (!path.startsWith('/app/')) {
			answerCall(req, res, path);
			return;
		}

		requests++;
		const head = {'request-id': req.headers['request-id'], 'weight-versions': '1'};
		if (requests % 8 === 0) {
			res.writeHead(503, {...head, 'not-executed': '1', 'content-length': '0'});
			res.end();
		} else if (path.startsWith('/app/ask/')) {
			res.writeHead(200, {...head, 'response-seal': 's', 'content-type': 'text/event-stream'});
			for (let id = 0; id < 4; id++) {
				res.write(`id: ${id}\ndata: x\n\n`);
				await sleep(10);
			}

			res.end();
		} else {
			res.writeHead(requests % 8 === 4 ? 500 : 200, {...head, 'response-seal': 's'});
			res.end('answer');
		}
	});
}

function createConfiguration(version, cache) {
	const route = {
		host: 'app.example', timeout_ms: 4000, goal_ms: 800, priority: 1, service: 'engines', max_attempts: 2, allow_anonymous: false, resumable: true,
	};
	const engine = {
		slots: 8, kv_capacity_tokens: 100_000, kv_token_bytes: 1000, link_mbps: 10_000, models: [{name: 'm'}],
	};
	return {
		version,
		routes: [
			{
				...route, name: 'ask', path_prefix: '/app/ask/', kind: 'streaming',
			},
			{
				...route, name: 'read', path_prefix: '/app/read/', kind: 'idempotent',
			},
			{
				...route, name: 'book', path_prefix: '/app/book/', kind: 'non_idempotent',
			},
			{
				...route, name: `new-${version}`, path_prefix: `/app/new-${version}/`, kind: 'idempotent',
			},
		],
		services: [
			{
				name: 'engines', max_conns: 100, health_path: '/health', engine,
			},
			{
				name: 'cache', kv_store_addr: cache, kv_capacity_tokens: 100_000, managed: true, zone: 'a',
			},
		],
		limits: {},
		tenants: [{name: 'tenant', api_keys: ['key'], priority: 2}, {name: 'walled', api_keys: ['other'], isolated: true}],
	};
}

function send(callers, index) {
	const [host, port] = callers.split(':');
	const kind = ['ask', 'ask', 'read', 'book', 'unknown'][index % 5];
	return new Promise(resolve => {
		const req = request({
			host, port, agent: false, method: kind === 'read' ? 'GET' : 'POST', path: `/app/${kind}/x`, headers: {
				host: 'app.example', 'request-id': `r${index}`, 'deadline-ms': '3000', 'x-api-key': index % 7 === 6 ? 'other' : 'key',
				...(kind === 'ask' && {model: 'm', 'token-count': '300,8', 'prompt-prefix': `aa:100,b${index % 3}:100,c${index}:100`}),
			},
		}, res => {
			res.resume();
			res.on('close', resolve);
		});
		req.on('error', resolve);
		req.end(kind === 'read' ? undefined : 'body');
		if (index % 11 === 10) {
			setTimeout(() => req.destroy(), 5);
		}
	});
}

async function startHost(name, store, cacheFlags) {
	const ports = await Promise.all(Array.from({length: 5}, findPort));
	const [callers, readiness, peers, reports] = ports.map(port => formatAddress(port));
	const file = `${dir}/${name}.jsonc`;
	writeFileSync(file, JSON.stringify({
		name, domain: name, region: 'none', callers, readiness, peers, reports, metricsPort: ports[4], objectStore: store.address, linkMbps: 10_000,
	}));
	const child = spawn(process.execPath, [...flags, `${dir}/hemlockpier.cjs`, ...cacheFlags, 'gateway', '--settings', file], {stdio: 'ignore'});
	const ended = new Promise(resolve => {
		child.on('exit', resolve);
	});
	return {
		child, ended, callers, readiness,
	};
}

async function isReady({readiness}) {
	try {
		const res = await fetch(`http://${readiness}/v1/readiness`);
		return res.status === 200;
	} catch {
		return false;
	}
}

const store = await openStore();
const upstreams = await Promise.all([openUpstream(), openUpstream(), openUpstream()]);
store.put('config', 'main', createConfiguration(1, upstreams[0]));
store.put('versions', 'm', {model: 'm', version: 1});
for (let index = 0; index < silentHosts; index++) {
	store.put('hemlockpier-hosts', `silent-${index}`, {
		host: `silent-${index}`, domain: index % 2 === 0 ? 'a' : 'b', peers: '127.0.0.1:9', reports: '127.0.0.1:9', linkMbps: 10,
	});
}

const registerUpstream = (index, changed = {}) => store.put('servers', `i-${index}`, {
	service: 'engines', address: upstreams[index], zone: index % 2 === 0 ? 'a' : 'b', version: 'v1', slots: 8, state: 'ready', seq: 1, born: 1,
	models: [{name: 'm', version: 1, adapters: []}], ...changed,
});
registerUpstream(0);
registerUpstream(1);
const hosts = [await startHost('a', store, ['--write-code-cache']), await startHost('b', store, [])];
const readyBy = performance.now() + readyLimitMs;
while (!await isReady(hosts[0]) && performance.now() < readyBy) {
	await sleep(roundMs);
}

const responses = [];
for (let round = 0; round < rounds; round++) {
	responses.push(send(hosts[0].callers, 2 * round), send(hosts[0].callers, (2 * round) + 1));
	if (round === rounds / 4) {
		store.put('config', 'main', createConfiguration(2, upstreams[0]));
		registerUpstream(2);
	} else if (round === rounds / 2) {
		store.put('versions', 'm', {model: 'm', version: 2});
		registerUpstream(1, {state: 'draining'});
	}

	await sleep(roundMs);
}

await Promise.race([Promise.all(responses), sleep(endLimitMs)]);
hosts[1].child.kill('SIGKILL');
hosts[0].child.kill('SIGTERM');
await Promise.race([hosts[0].ended, sleep(endLimitMs)]);
hosts[0].child.kill('SIGKILL');
process.exit(0);
