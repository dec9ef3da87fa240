/* eslint camelcase: ["error", {properties: "never"}] */
/** A configuration makes a tenant isolated; another tenant's request then uses what the isolated tenant's requests left. See claim.txt. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {sendRequest} from './client.js';
import {findPorts, startGateway} from './gateway.js';
import {startModelEngine} from './model-engine.js';
import {startObjectStore} from './object-store.js';
import {sleep} from './sleep.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** The bound of `config_apply_ms`. */
const configApplyMs = 2000;
const settleMs = 3000;
const requestsPerTenant = 8;
const deadlineMs = 15_000;
const sharedParts = '5c1e07a2:800,91bd3f06:410';
const keys = {acme: 'key-acme', birch: 'key-birch', cedar: 'key-cedar'};

const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
const startedAt = performance.now();
const lines = [];
const runs = [];
const gateways = [];
const engines = [];
let exitCode = 2;

function record(text) {
	lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} s ${text}`);
}

function createConfiguration(version, isolated) {
	return {
		version,
		routes: [{
			name: 'r-draft', host: 'app.example', path_prefix: '/draft/', kind: 'streaming', timeout_ms: deadlineMs, goal_ms: 800,
			priority: 1, service: 'draft', max_attempts: 2, allow_anonymous: false, sticky: true, resumable: true, gap_target_ms: 300,
		}],
		services: [{
			name: 'draft', health_path: '/health', max_conns: 370, protocol: 'h1', tls: false, engine: {
				slots: 64, kv_capacity_tokens: 99_308, kv_token_bytes: 35_136, link_mbps: 550_000, managed: true, models: [{name: 'model-a'}],
			},
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: Object.entries(keys).map(([name, key]) => ({
			name, api_keys: [key], priority: 1, isolated: isolated.includes(name),
		})),
	};
}

/** Sends requests of a tenant that share all parts of their prompts but the last. */
async function sendRequests(tenant, phase) {
	for (let index = 0; index < requestsPerTenant; index++) {
		const id = `${phase}-${tenant}-${index}`;
		const {status} = await sendRequest(gateways[index % gateways.length], {
			id, method: 'POST', path: `/draft/${id}`, deadlineMs, key: keys[tenant], body: 'route file', headers: {
				Model: 'model-a', 'Token-Count': '1460,80', 'Prompt-Prefix': `${sharedParts},${phase}${tenant}${index}:250`,
			},
		});
		record(`request ${id} of ${tenant}: ${status}`);
	}
}

/** Lists the runs that used what a request of another tenant made, where one of the two is isolated. */
function listBreaches(checked, isolated) {
	return checked.flatMap(({requestId, tenant, used}) => used
		.filter(part => part.tenant !== tenant && (isolated.includes(tenant) || isolated.includes(part.tenant)))
		.map(({part, requestId: maker, tenant: ofTenant}) => `run ${requestId} of ${tenant} uses part ${part}, which run ${maker} of ${ofTenant} made`));
}

const store = await startObjectStore();
try {
	store.put('config', 'main', createConfiguration(1, ['cedar']));
	store.put('versions', 'model-a', {model: 'model-a', version: 1});
	const ips = ['127.0.2.1', '127.0.2.2'];
	const ports = await Promise.all(ips.map(async ip => findPorts(ip)));
	const seeds = ips.map((ip, index) => `${ip}:${ports[index].peers}`);
	for (let index = 0; index < 2; index++) {
		engines.push(await startModelEngine({
			store, id: `i-${index}`, service: 'draft', zone: `zone-${index}`, model: 'model-a', slots: 64, heartbeatMs: 1200, onRun: run => runs.push(run),
		}));
		gateways.push(startGateway({
			name: `host-${index}`, ip: ips[index], ports: ports[index], domain: `zone-${index}`, store: store.address, folder, seeds,
		}));
	}

	await Promise.all(gateways.map(async gateway => gateway.waitUntilReady()));
	await sleep(settleMs);
	record('cedar is isolated, acme and birch are not');
	await sendRequests('acme', 'before');
	await sendRequests('cedar', 'before');
	await sendRequests('birch', 'before');
	const before = listBreaches(runs, ['cedar']);
	const begunBefore = runs.length;
	const isolated = hasTrouble ? ['acme', 'cedar'] : ['cedar'];
	if (hasTrouble) {
		store.put('config', 'main', createConfiguration(2, isolated));
		record('the store has acknowledged version 2 of the configuration: acme is isolated too');
	}

	await sleep(configApplyMs + settleMs);
	await sendRequests('acme', 'after');
	await sendRequests('birch', 'after');
	const after = runs.slice(begunBefore);
	for (const {requestId, tenant, engine, salt, used} of runs) {
		record(`run ${requestId} of ${tenant} at ${engine} under ${salt}, uses ${used.map(({part, requestId: maker}) => `${part} of ${maker}`).join(', ') || 'nothing'}`);
	}

	const breaches = [...before, ...listBreaches(after, isolated)];
	for (const breach of breaches) {
		record(`WALL: ${breach}`);
	}

	const expectedRuns = 5 * requestsPerTenant;
	record(`${runs.length} runs of ${expectedRuns} requests, WALL ${breaches.length}`);
	if (runs.length === expectedRuns) {
		exitCode = breaches.length > 0 ? 1 : 0;
	}
} catch (error) {
	record(String(error.stack));
} finally {
	await Promise.all(gateways.map(async gateway => gateway.kill()));
	for (const engine of engines) {
		engine.stop();
	}

	store.stop();
	rmSync(folder, {recursive: true});
	writeFileSync(path.join(import.meta.dirname, 'record.txt'), `${lines.join('\n')}\n`);
}

process.exit(exitCode);
