import process from 'node:process';
import {createPeerClient} from '../src/peers/create-peer-client.js';
import {createPeerServer} from '../src/peers/create-peer-server.js';
import {type PeerHandlers} from '../src/peers/peer-handlers.js';
import {printLinearFit} from './print-linear-fit.js';

const callCount = 3000;
const concurrency = 10;

/** Measures the processor time of a call between hosts, client and server together. */
export async function benchPeers(): Promise<void> {
	const server = await createPeerServer('127.0.0.1:0', undefined, {'config.text': async ({digest}: {readonly digest: string}) => ({text: digest})}, () => false);
	const client = createPeerClient(undefined, () => false, () => undefined);
	const points: Array<readonly [number, number]> = [];
	for (const size of [100, 500, 2000, 8000]) {
		const digest = 'x'.repeat(size);
		const runCalls = async (): Promise<void> => {
			for (let count = 0; count < callCount / concurrency; count++) {
				await client.call(`127.0.0.1:${server.port}`, 'config.text', {digest});
			}
		};

		await Promise.all(Array.from({length: concurrency}, async () => runCalls()));
		const before = process.cpuUsage();
		await Promise.all(Array.from({length: concurrency}, async () => runCalls()));
		const {user, system} = process.cpuUsage(before);
		points.push([size, (user + system) / callCount]);
	}

	printLinearFit('call between hosts, client and server, by bytes in each direction', 'us', points);
	await client.stop();
	await server.stop();
}
