import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {createDatagramLink, createTcpLink} from './create-link.mjs';

const restartMs = 500;

/** Below the ports that the system gives to connections. */
const firstPort = 12_000;
const portCount = 16_000;
const taken = new Set();

async function isFree(port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds free ports that stay free, since no connection gets them. */
async function findFreePorts(count) {
	const ports = [];
	while (ports.length < count) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (!taken.has(port) && await isFree(port)) {
			taken.add(port);
			ports.push(port);
		}
	}

	return ports;
}

/** Returns the command of the deploy file. */
function readCommand() {
	const [, run] = /^run = "([^"]+)"/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	return run.split(' ');
}

/**
Starts hosts as processes, with the command of the deploy file. Each pair of hosts has links of its own in both directions, and each host one to the store.

@param cluster - Its `rewriteFor` is set before the first host starts.
@param onExit - Called when a host ends that this program has not killed or stopped.
*/
export async function createHosts({names, zoneOf, openStore, folder, cluster, settings = {}, onExit}) {
	const hosts = new Map();
	const links = [];
	const cut = new Set();
	const [program, ...args] = readCommand();
	for (const name of names) {
		const [callers, readiness, peers, reports, metrics] = await findFreePorts(5);
		hosts.set(name, {
			name, zone: zoneOf(name), callers, readiness, peers, reports, metrics, child: undefined, isStopping: false, seenBy: new Map(),
		});
	}

	for (const host of hosts.values()) {
		host.storeLink = await createTcpLink(await openStore(host.name), () => cut.has(host.name));
		links.push(host.storeLink);
		for (const viewer of hosts.values()) {
			if (viewer === host) {
				continue;
			}

			const isCut = () => cut.has(viewer.name) || cut.has(host.name);
			const peersLink = await createTcpLink(host.peers, isCut);
			const reportsLink = await createTcpLink(host.reports, isCut);
			links.push(peersLink, reportsLink);
			host.seenBy.set(viewer.name, {peers: `127.0.0.1:${peersLink.port}`, reports: `127.0.0.1:${reportsLink.port}`});
		}
	}

	/** Replaces the addresses of a host in a text by those at which another host reaches it. */
	const rewriteFor = (viewer, text) => {
		let rewritten = text;
		for (const host of hosts.values()) {
			const seen = host.seenBy.get(viewer);
			if (seen) {
				rewritten = rewritten.replaceAll(`127.0.0.1:${host.peers}`, seen.peers).replaceAll(`127.0.0.1:${host.reports}`, seen.reports);
			}
		}

		return rewritten;
	};

	cluster.rewriteFor = rewriteFor;
	for (const host of hosts.values()) {
		for (const [viewer, {reports}] of host.seenBy) {
			const isCut = () => cut.has(viewer) || cut.has(host.name);
			links.push(await createDatagramLink(Number(reports.split(':')[1]), host.reports, isCut, text => rewriteFor(host.name, text)));
		}
	}

	const start = host => {
		const file = path.join(folder, `${host.name}.jsonc`);
		writeFileSync(file, JSON.stringify({
			name: host.name,
			domain: host.zone,
			region: 'region-1',
			callers: `127.0.0.1:${host.callers}`,
			readiness: `127.0.0.1:${host.readiness}`,
			peers: `127.0.0.1:${host.peers}`,
			reports: `127.0.0.1:${host.reports}`,
			seeds: [],
			linkMbps: 1000,
			metricsPort: host.metrics,
			objectStore: `127.0.0.1:${host.storeLink.port}`,
			placement: {claims: true},
			limits: {
				memoryMb: 200, maxFds: 4100, cpuShare: 0.675, cores: 1,
			},
			bounds: {
				retryRatio: 0.2, retryWindowS: 10, retrySlack: 54, graceS: 8, leaseMs: 3000, versionMs: 12_000,
			},
			...settings,
		}));
		host.isStopping = false;
		host.child = spawn(program, args, {stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: folder, HEMLOCKPIER_CONFIG: file}});
		const log = createWriteStream(path.join(folder, `${host.name}.log`), {flags: 'a'});
		host.child.stdout.pipe(log, {end: false});
		host.child.stderr.pipe(log, {end: false});
		const {child} = host;
		child.once('exit', (code, signal) => {
			log.end();
			if (!host.isStopping) {
				onExit?.(host.name, code, signal);
			}
		});
	};

	const ask = async host => new Promise(resolve => {
		const req = request({
			host: '127.0.0.1', port: host.readiness, path: '/v1/readiness', timeout: 900,
		}, res => {
			res.resume();
			resolve(res.statusCode === 200);
		});
		req.on('error', () => {
			resolve(false);
		});
		req.on('timeout', () => {
			req.destroy();
		});
		req.end();
	});

	for (const host of hosts.values()) {
		start(host);
	}

	return {
		get: name => hosts.get(name),
		isReady: async name => ask(hosts.get(name)),
		async waitUntilReady(timeoutMs = 15_000) {
			const endsAt = performance.now() + timeoutMs;
			for (const host of hosts.values()) {
				while (!await ask(host)) {
					if (performance.now() > endsAt) {
						throw new Error(`${host.name} is not ready`);
					}

					await new Promise(resolve => {
						setTimeout(resolve, 50);
					});
				}
			}
		},
		/** Partitions a host from the store and from all other hosts; callers and engines still reach it. */
		cutOff(name) {
			cut.add(name);
		},
		heal(name) {
			cut.delete(name);
			for (const link of links) {
				link.heal?.();
			}
		},
		signal(name, signal) {
			const host = hosts.get(name);
			host.isStopping ||= signal === 'SIGKILL' || signal === 'SIGTERM';
			host.child.kill(signal);
		},
		/** Kills a host; it is started again after a short delay. */
		async kill(name, delayMs = restartMs) {
			const host = hosts.get(name);
			host.isStopping = true;
			host.child.kill('SIGKILL');
			await new Promise(resolve => {
				setTimeout(resolve, delayMs);
			});
			start(host);
		},
		/** Stops a host as planned work does; it is started again after a short delay. */
		async restart(name) {
			const host = hosts.get(name);
			const {child} = host;
			host.isStopping = true;
			child.kill('SIGTERM');
			await new Promise(resolve => {
				child.once('exit', resolve);
			});
			await new Promise(resolve => {
				setTimeout(resolve, restartMs);
			});
			start(host);
		},
		stop() {
			for (const host of hosts.values()) {
				host.isStopping = true;
				host.child.kill('SIGKILL');
			}

			for (const link of links) {
				link.stop();
			}
		},
	};
}
