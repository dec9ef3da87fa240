import {createServer, type Server} from 'node:net';
import process from 'node:process';
import {listen} from '../../src/http/listen.js';
import {testPortRange} from './test-port-range.js';

const {first, count: portCount} = testPortRange;
/** Where a port is claimed; tests listen on other addresses. */
const claimHost = '127.0.0.2';

/** Processes begin far from each other, so that they seldom meet at a port. */
let nextOffset = (process.pid * 1009) % portCount;

async function tryListen(host: string, port: number): Promise<Server | undefined> {
	const server = createServer();
	try {
		await listen(server as never, {host, port});
		return server;
	} catch {
		server.close();
		return undefined;
	}
}

/** A claimed port is this process's until its end, also while nothing listens on it: another process of tests can't claim it. */
async function claim(port: number): Promise<boolean> {
	const claimed = await tryListen(claimHost, port);
	if (!claimed) {
		return false;
	}

	claimed.unref();
	const probe = await tryListen('127.0.0.1', port);
	probe?.close();
	return probe !== undefined;
}

/** Returns `count` free ports, which no other process of tests uses meanwhile. */
export async function findTestPorts(count: number): Promise<readonly number[]> {
	const ports: number[] = [];
	for (let tried = 0; ports.length < count; tried++) {
		if (tried === portCount) {
			throw new Error(`fewer than ${count} ports are free`);
		}

		const port = first + (nextOffset % portCount);
		nextOffset++;
		if (await claim(port)) {
			ports.push(port);
		}
	}

	return ports;
}
