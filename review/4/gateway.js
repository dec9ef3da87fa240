/** Starts hosts of the system as the deploy file does: `target/hemlockpier.cjs gateway`, with a settings file named by a variable. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {sleep} from './sleep.js';

const program = ['--no-flush-bytecode', '--max-old-space-size=96', '--min-semi-space-size=4', '--max-semi-space-size=4', 'target/hemlockpier.cjs', 'gateway', '--settings-from', 'HEMLOCKPIER_CONFIG'];
const readyTimeoutMs = 20_000;
const readyIntervalMs = 100;
/** What a host listens on. */
const portNames = ['callers', 'readiness', 'peers', 'reports', 'metrics'];

/** Returns a free port of a loopback address for each of what a host listens on. */
export async function findPorts(ip) {
	const servers = await Promise.all(portNames.map(async () => {
		const server = createServer();
		server.listen(0, ip);
		await once(server, 'listening');
		return server;
	}));
	const ports = Object.fromEntries(portNames.map((name, index) => [name, servers[index].address().port]));
	for (const server of servers) {
		server.close();
	}

	return ports;
}

/**
Starts a host. Each host has a loopback address of its own, as each machine has an address.

@param ip - Loopback address of the host.
@param ports - Ports of `findPorts`.
@param folder - Temporary folder for the settings and the log.
@returns The host's address for callers, and functions to signal it and to wait for it.
*/
export function startGateway({name, ip, ports, domain, store, folder, seeds = [], bounds = {}}) {
	const settings = {
		name,
		domain,
		region: 'region',
		callers: `${ip}:${ports.callers}`,
		readiness: `${ip}:${ports.readiness}`,
		peers: `${ip}:${ports.peers}`,
		reports: `${ip}:${ports.reports}`,
		seeds,
		linkMbps: 1000,
		metricsPort: ports.metrics,
		objectStore: store,
		bounds: {
			retryRatio: 0.2, retryWindowS: 10, retrySlack: 56, graceS: 8, leaseMs: 3000, versionMs: 12_000, ...bounds,
		},
	};
	const file = path.join(folder, `${name}.jsonc`);
	writeFileSync(file, JSON.stringify(settings));
	const child = spawn(process.execPath, program, {
		env: {PATH: process.env.PATH, HOME: process.env.HOME, HEMLOCKPIER_CONFIG: file}, stdio: ['ignore', 'pipe', 'inherit'],
	});
	child.stdout.pipe(createWriteStream(path.join(folder, `${name}.log`)));
	const isReady = async () => {
		try {
			const {status} = await fetch(`http://${ip}:${ports.readiness}/v1/readiness`);
			return status === 200;
		} catch {
			return false;
		}
	};

	return {
		name,
		ip,
		port: ports.callers,
		pid: child.pid,
		isReady,
		signal(signal) {
			child.kill(signal);
		},
		hasExited: () => child.exitCode !== null || child.signalCode !== null,
		async waitUntilReady() {
			const until = performance.now() + readyTimeoutMs;
			while (!await isReady()) {
				if (performance.now() > until || child.exitCode !== null) {
					throw new Error(`${name} is not ready`);
				}

				await sleep(readyIntervalMs);
			}
		},
		async kill() {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		},
	};
}
