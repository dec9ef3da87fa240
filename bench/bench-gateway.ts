import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {sleep} from '../src/util/sleep.js';
import {sendRawRequest} from '../test/support/send-raw-request.js';
import {buildRawRequest} from '../test/support/build-raw-request.js';
import {createObjectStoreServer} from '../test/support/create-object-store-server.js';
import {createUpstreamServer} from '../test/support/create-upstream-server.js';
import {platformObjects} from '../test/support/platform-objects.js';
import {findTestPorts} from '../test/support/find-test-ports.js';
import {printLinearFit} from './print-linear-fit.js';

const engineCounts = [8, 16, 32, 64];
const promptsPerS = 20;
const warmUpMs = 6000;
const measuredMs = 8000;
/** Linux reports processor time in `/proc` in ticks of 10 ms. */
const msPerTick = 10;

const engineService = {
	name: 'app', health_path: '/health', max_conns: 400, protocol: 'h1', tls: false,
	engine: {
		slots: 24, kv_capacity_tokens: 100_000, kv_token_bytes: 1000, link_mbps: 500_000, managed: true, models: [{name: 'm'}],
	},
};

function readCpuMs(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * msPerTick;
}

async function writeSettings(objectStore: string): Promise<{readonly file: string; readonly callers: string}> {
	const [callers, readiness, peers, reports, metricsPort] = await findTestPorts(5);
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'hemlockpier-bench-')), 'host.jsonc');
	const formatAddress = (port: number | undefined): string => `127.0.0.1:${port}`;
	writeFileSync(file, JSON.stringify({
		name: 'host-1', domain: 'domain-a', region: 'region-a', callers: formatAddress(callers),
		readiness: formatAddress(readiness), peers: formatAddress(peers), reports: formatAddress(reports), metricsPort, objectStore,
	}));
	return {file, callers: formatAddress(callers)};
}

async function sendPrompt(callers: string, index: number): Promise<void> {
	await sendRawRequest(callers, buildRawRequest({
		method: 'POST', target: '/ask/x', body: 'p'.repeat(4000), deadlineMs: 4000,
		headers: `Model: m\r\nToken-Count: 3000,64\r\nPrompt-Prefix: aa:500,b${index % 500}:2000,c${index}:500\r\n`,
	}));
}

/** Sends prompts at a constant rate for `durationMs` and returns their number. */
async function sendPrompts(callers: string, durationMs: number): Promise<number> {
	const sentPrompts: Array<Promise<void>> = [];
	const endsAt = performance.now() + durationMs;
	while (performance.now() < endsAt) {
		sentPrompts.push(sendPrompt(callers, sentPrompts.length));
		await sleep(1000 / promptsPerS);
	}

	await Promise.all(sentPrompts);
	return sentPrompts.length;
}

/** Measures a host with the given number of engines: its idle processor time over `measuredMs`, and that per prompt, in milliseconds. */
async function measure(engines: number): Promise<{readonly idle: number; readonly prompt: number}> {
	const [store, upstream] = await Promise.all([createObjectStoreServer(), createUpstreamServer()]);
	store.put('config', 'main', platformObjects.configuration(1, {services: [engineService]}));
	store.put('versions', 'm', {model: 'm', version: 1});
	for (let index = 0; index < engines; index++) {
		store.put('servers', `i-${index}`, platformObjects.upstream(upstream.address, {models: [{name: 'm', version: 1, adapters: []}]}));
	}

	const {file, callers} = await writeSettings(store.address);
	const profiling = process.env.HEMLOCKPIER_BENCH_PROFILE ? ['--cpu-prof', '--cpu-prof-dir', process.env.HEMLOCKPIER_BENCH_PROFILE] : [];
	const child = spawn(process.execPath, [...profiling, 'dist/hemlockpier.cjs', 'gateway', '--settings', file], {stdio: 'ignore'});
	await sendPrompts(callers, warmUpMs);
	const before = readCpuMs(child.pid!);
	await sleep(measuredMs);
	const idle = readCpuMs(child.pid!);
	const count = await sendPrompts(callers, measuredMs);
	const after = readCpuMs(child.pid!);
	child.kill('SIGINT');
	await sleep(profiling.length > 0 ? 4000 : 0);
	child.kill('SIGKILL');
	store.stop();
	upstream.stop();
	return {idle: idle - before, prompt: (after - idle - (idle - before)) / count};
}

/** Measures the processor time of a gateway host in a separate process, by number of engines. */
export async function benchGateway(): Promise<void> {
	const points: Array<readonly [number, number]> = [];
	for (const engines of engineCounts) {
		const {idle, prompt} = await measure(engines);
		process.stdout.write(`${engines} engines: idle ${(idle / measuredMs * 100).toFixed(2)}% of a core\n`);
		points.push([engines, prompt]);
	}

	printLinearFit('one prompt, by engines', 'ms of processor time', points);
}
