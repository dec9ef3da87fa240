/** Stand-in for the platform in front of the hosts: asks each host once a second whether it is ready and takes it out after two misses. */
import {isReady} from './host.js';

const intervalMs = 1000;
const maxMisses = 2;

export function createBalancer(hosts) {
	const misses = new Map(hosts.map(host => [host, 0]));
	const ask = async host => {
		misses.set(host, await isReady(host) ? 0 : misses.get(host) + 1);
	};

	const timer = setInterval(() => {
		for (const host of hosts) {
			ask(host);
		}
	}, intervalMs);
	return {
		/** Whether new connections go to a host. */
		isIn: host => misses.get(host) < maxMisses,
		stop() {
			clearInterval(timer);
		},
	};
}
