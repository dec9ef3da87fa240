import process from 'node:process';
import {loadConfigSnapshot} from '../src/publishing/load-config-snapshot.js';
import {findWorkspaces} from '../src/callers/find-workspaces.js';
import {computeSha256} from '../src/util/compute-sha256.js';
import {printLinearFit} from './print-linear-fit.js';

function formatService(service: number, workspaces: number, upstreams: number): string {
	return JSON.stringify({
		service: `service-${service}`, kind: 'model', pool: `pool-${service}`, models: [{name: `model-${service}`, version: 'v1'}],
		workspaces: Array.from({length: workspaces}, (_, index) => ({name: `workspace-${index}`, weight: 1, keys: [computeSha256(`${service}/${index}`)]})),
		upstreams: Array.from({length: upstreams}, (_, index) => ({name: `engine-${service}-${index}`, domain: `domain-${index % 23}`, url: `http://10.20.${index % 250}.9:8000`})),
	});
}

/** Measures heap and processor time of a configuration snapshot by number of workspaces, with 8 services and about 1,900 engines. */
export async function benchConfig(): Promise<void> {
	const points: Array<readonly [number, number, number, number, number]> = [];
	for (const workspaces of [2250, 4500, 9000, 18_000]) {
		const texts = Array.from({length: 8}, (_, service) => formatService(service, workspaces / 8, 237));
		const textByDigest = new Map(texts.map(text => [computeSha256(text), text]));
		const services = Object.fromEntries([...textByDigest.keys()].map((hash, index) => [`service-${index}`, hash]));
		globalThis.gc?.();
		const heapBefore = process.memoryUsage().heapUsed;
		const before = process.cpuUsage();
		const snapshot = await loadConfigSnapshot({revision: 1, services}, undefined, async hash => textByDigest.get(hash)!);
		const loadCpu = process.cpuUsage(before);
		findWorkspaces(snapshot, 'Bearer x');
		globalThis.gc?.();
		const kept = process.memoryUsage().heapUsed - heapBefore;
		const changed = formatService(0, workspaces / 8, 236);
		const beforeChange = process.cpuUsage();
		const next = await loadConfigSnapshot({revision: 2, services: {...services, 'service-0': computeSha256(changed)}}, snapshot, async () => changed);
		findWorkspaces(next, 'Bearer x');
		const changeCpu = process.cpuUsage(beforeChange);
		points.push([workspaces, kept, loadCpu.user + loadCpu.system, changeCpu.user + changeCpu.system, changed.length]);
	}

	printLinearFit('heap of a snapshot, by workspaces', 'bytes', points.map(point => [point[0], point[1]] as const));
	printLinearFit('loading a snapshot, by workspaces', 'us', points.map(point => [point[0], point[2]] as const));
	printLinearFit('applying a change of one of 8 services, by workspaces', 'us', points.map(point => [point[0], point[3]] as const));
	printLinearFit('size of a change of one service, by workspaces', 'bytes', points.map(point => [point[0], point[4]] as const));
}
