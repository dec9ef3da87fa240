// Guards against a host that waits for ever to be ready because its address for messages between hosts is taken.
import {createSocket, type Socket} from 'node:dgram';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect, test} from 'vitest';
import {createHostSocket} from '../../src/reports/create-host-socket.js';
import {createObjectStoreServer} from '../support/create-object-store-server.js';
import {findTestPorts} from '../support/find-test-ports.js';
import {platformObjects} from '../support/platform-objects.js';
import {startProcess} from '../support/start-process.js';

/** A process that has not ended by then waits for ever. */
const endMs = 20_000;

async function occupy(port: number): Promise<Socket> {
	const socket = createSocket('udp4');
	await new Promise<void>(resolve => {
		socket.bind(port, '127.0.0.1', resolve);
	});
	return socket;
}

test('a socket whose address is taken does not open, and says so', async () => {
	const [port] = await findTestPorts(1);
	const occupier = await occupy(port!);
	const socket = createHostSocket(`127.0.0.1:${port}`, () => undefined);
	await expect(socket.open()).rejects.toThrow(/EADDRINUSE/v);
	socket.close();
	occupier.close();
}, endMs);

test('a host whose address for reports is taken ends with an error', async () => {
	const store = await createObjectStoreServer();
	store.put('config', 'main', platformObjects.configuration(1));
	const [callers, readiness, peers, reports, metricsPort] = await findTestPorts(5);
	const occupier = await occupy(reports!);
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'hemlockpier-')), 'host.jsonc');
	writeFileSync(file, JSON.stringify({
		name: 'host-0', domain: 'domain-a', region: 'region-a', callers: `127.0.0.1:${callers}`, readiness: `127.0.0.1:${readiness}`,
		peers: `127.0.0.1:${peers}`, reports: `127.0.0.1:${reports}`, metricsPort, objectStore: store.address,
	}));
	const host = startProcess(['gateway', '--settings', file]);
	const timer = setTimeout(() => host.child.kill('SIGKILL'), endMs);
	const exitCode = await host.waitForExit();
	clearTimeout(timer);
	occupier.close();
	store.stop();
	expect(exitCode, host.lines.slice(-5).join('\n')).toBe(1);
	expect(host.lines.join('\n')).toContain(`EADDRINUSE 127.0.0.1:${reports}`);
}, 2 * endMs);
