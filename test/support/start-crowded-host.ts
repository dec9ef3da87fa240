import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {buildRawRequest} from './build-raw-request.js';
import {createObjectStoreServer} from './create-object-store-server.js';
import {createUpstreamServer, type UpstreamServer} from './create-upstream-server.js';
import {findTestPorts} from './find-test-ports.js';
import {platformObjects} from './platform-objects.js';
import {sendRawRequest, type RawResponse} from './send-raw-request.js';
import {waitUntilReady} from './wait-until-ready.js';

const bytesPerMiB = 1024 * 1024;
/** Memory of a small machine: 160 MiB, the smallest, and what this bundle takes beyond the deployed one, which holds one role only (10 to 20 MB when idle). */
const memoryLimitKb = 192 * 1024;
const deployedNodeArgs = ['--max-old-space-size=96', '--min-semi-space-size=4', '--max-semi-space-size=4'];
/** Soft and hard limit of the process, so that a crowd of two hundred reaches it. */
const descriptorLimit = 256;
const maxBodyBytes = 4 * bytesPerMiB;
/** A crowd sends for so long at most; what it has not sent by then stays unsent and its connections stay open. */
const crowdMs = 12_000;
const sampleMs = 50;
const requestMs = 20_000;
/** Field `tx_queue:rx_queue` of a line in /proc/net/tcp. */
const queuesField = 4;

/** What one connection sends: its head, then `piece` again and again up to `bytes`, after which it stays open. */
export type CrowdSender = {
	readonly head: string;
	readonly piece: Buffer;
	readonly bytes: number;
	/** Pause after each piece, in milliseconds. */
	readonly pauseMs?: number;
};

/** Addresses of a host, `IP:PORT`. */
type HostAddresses = {
	readonly callers: string;
	readonly readiness: string;
	readonly peers: string;
	readonly relayed: string;
	readonly metrics: string;
};

/** A host as a process of its own, on a small machine, that a crowd sends to. */
export type CrowdedHost = {
	readonly addresses: HostAddresses;
	readonly upstream: UpstreamServer;
	/** Sends as much as the host takes, until all is sent, the connections are closed or the crowd's time is over. */
	readonly sendAll: (address: string, senders: readonly CrowdSender[]) => Promise<void>;
	/** Sends an ordinary request. */
	readonly ask: () => Promise<RawResponse>;
	/** Expects that the process lives, and that its memory and descriptors stayed within the machine's. */
	readonly expectSound: () => void;
	readonly stop: () => Promise<void>;
};

/** Returns the bytes that the system has received for some addresses and that the process has not read. */
function countUnreadBytes(addresses: readonly string[]): number {
	const localPorts = addresses.map(address => `:${Number(address.split(':')[1]).toString(16).toUpperCase().padStart(4, '0')}`);
	return readFileSync('/proc/net/tcp', 'utf8').split('\n').map(line => line.trim().split(/\s+/v))
		.filter(([, local]) => localPorts.some(port => local?.endsWith(port)))
		.reduce((sum, fields) => sum + Number.parseInt(fields[queuesField]!.split(':')[1]!, 16), 0);
}

/** Starts a host, an upstream and the platform's store. */
export async function startCrowdedHost(): Promise<CrowdedHost> {
	const store = await createObjectStoreServer();
	const upstream = await createUpstreamServer();
	const sockets: Socket[] = [];
	const output: string[] = [];
	let peakDescriptors = 0;
	let peakUnreadBytes = 0;
	const slow = {timeout_ms: 60_000, goal_ms: 60_000};
	store.put('config', 'main', platformObjects.configuration(1, {
		routes: [platformObjects.route(slow), platformObjects.route({
			...slow, name: 'r-once', path_prefix: '/book/', kind: 'non_idempotent', max_attempts: 1,
		})],
		limits: {
			max_header_bytes: 8192, max_body_bytes: maxBodyBytes, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	}));
	store.put('servers', 'i-0', platformObjects.upstream(upstream.address, {slots: 64}));
	const [callerPort, readinessPort, peerPort, reportPort, metricsPort] = await findTestPorts(5);
	const addresses = {
		callers: `127.0.0.1:${callerPort}`, readiness: `127.0.0.1:${readinessPort}`, peers: `127.0.0.1:${peerPort}`,
		relayed: `127.0.0.1:${reportPort}`, metrics: `127.0.0.1:${metricsPort}`,
	};
	const settings = {
		name: 'host-1', domain: 'domain-a', region: 'region-a', callers: addresses.callers, readiness: addresses.readiness,
		peers: addresses.peers, reports: addresses.relayed, metricsPort, objectStore: store.address,
	};
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'host-')), 'host.jsonc');
	writeFileSync(file, JSON.stringify(settings));
	// The shell sets the limit and is replaced by the process.
	const command = `ulimit -n ${descriptorLimit}; exec "$0" "$@"`;
	const host = spawn('sh', ['-c', command, process.execPath, ...deployedNodeArgs, 'dist/hemlockpier.cjs', 'gateway', '--settings', file], {stdio: ['ignore', 'pipe', 'pipe']});
	for (const stream of [host.stdout, host.stderr]) {
		stream.on('data', (chunk: Buffer) => {
			output.push(chunk.toString());
			output.splice(0, output.length - 200);
		});
	}

	const countDescriptors = (): number => {
		try {
			return readdirSync(`/proc/${host.pid}/fd`).length;
		} catch {
			return 0;
		}
	};

	await waitUntilReady(settings);
	const sampler = setInterval(() => {
		peakDescriptors = Math.max(peakDescriptors, countDescriptors());
		peakUnreadBytes = Math.max(peakUnreadBytes, countUnreadBytes(Object.values(addresses)));
	}, sampleMs);

	const readPeakMemoryKb = (): number => Number(/^VmHWM:\s+(\d+) kB/mv.exec(readFileSync(`/proc/${host.pid}/status`, 'utf8'))?.[1]);

	const send = async (address: string, {head, piece, bytes, pauseMs = 0}: CrowdSender, endsAt: number): Promise<void> => {
		const [ip, port] = address.split(':');
		const socket = connect({host: ip!, port: Number(port)});
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.resume();
		let rest = bytes;
		let canWrite = socket.write(head);
		while (rest > 0 && !socket.destroyed && socket.writable && performance.now() < endsAt) {
			if (canWrite) {
				const part = rest < piece.length ? piece.subarray(0, rest) : piece;
				rest -= part.length;
				canWrite = socket.write(part);
				await sleep(pauseMs);
			} else {
				await sleep(1);
				canWrite = !socket.writableNeedDrain;
			}
		}
	};

	return {
		addresses,
		upstream,
		async sendAll(address, senders) {
			const endsAt = performance.now() + crowdMs;
			await Promise.all(senders.map(async sender => send(address, sender, endsAt)));
		},
		ask: async () => sendRawRequest(addresses.callers, buildRawRequest({
			method: 'POST', id: 'ordinary', target: '/read/x', deadlineMs: requestMs, body: 'prompt '.repeat(100),
		})),
		expectSound() {
			expect([host.exitCode, host.signalCode], output.join('').slice(-3000)).toEqual([null, null]);
			const unreadKb = Math.ceil(peakUnreadBytes / 1024);
			expect(readPeakMemoryKb() + unreadKb).toBeLessThan(memoryLimitKb);
			expect(peakDescriptors).toBeLessThan(descriptorLimit);
		},
		async stop() {
			clearInterval(sampler);
			for (const socket of sockets) {
				socket.destroy();
			}

			if (host.exitCode === null && host.signalCode === null) {
				host.kill('SIGKILL');
				await once(host, 'exit');
			}

			store.stop();
			upstream.stop();
		},
	};
}
