import {createServer} from 'node:net';
import {listen} from '../http/listen.js';

/** Returns `count` ports on loopback that are free at the time of the call. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => listen(server as never, {host: '127.0.0.1', port: 0})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
