import {createServer} from 'node:net';
import process from 'node:process';
import {listen} from '../../src/http/listen.js';

const firstPort = 10_000;
const portsPerWorker = 2000;

const workerIndex = Number(process.env.VITEST_POOL_ID ?? '1') % 8;
let nextOffset = (process.pid * 37) % portsPerWorker;

async function isFree(port: number): Promise<boolean> {
	const server = createServer();
	try {
		await listen(server as never, {host: '127.0.0.1', port});
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
}

/**
Returns `count` free ports. Each test worker uses a separate range below the ephemeral ports, so that no other worker or
outgoing connection takes a port between the check and its use.
*/
export async function findTestPorts(count: number): Promise<readonly number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + (workerIndex * portsPerWorker) + (nextOffset % portsPerWorker);
		nextOffset++;
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}
