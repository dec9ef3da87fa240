import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {sleep} from '../../src/util/sleep.js';
import {sendBooking} from '../support/send-booking.js';
import {requestCompletion, expectedCompletionText} from '../support/request-completion.js';
import {readStandInCounts} from '../support/fleet-control.js';
import {
	fleetApiKeys, startFleet, type Fleet, type FleetHost,
} from '../support/start-fleet.js';

const balancerLagMs = 1500;
const drainMs = 2500;
const streamCount = 8;

/** Creates a load balancer that sees changes of the hosts' readiness with a delay. */
function createBalancer(hosts: readonly FleetHost[]) {
	const readyAt = new Map<string, boolean>(hosts.map(host => [host.name, true]));
	const polling = setInterval(() => {
		for (const host of hosts) {
			request(`http://${host.operators}/readyz`).then(async response => {
				await response.body.dump();
				return response.statusCode === 200;
			}, () => false).then(async isReady => {
				await sleep(balancerLagMs);
				readyAt.set(host.name, isReady);
			}, () => undefined);
		}
	}, 200);
	let pickCount = 0;
	return {
		pick(): FleetHost {
			const ready = hosts.filter(host => readyAt.get(host.name));
			pickCount++;
			return ready[pickCount % ready.length]!;
		},
		stop() {
			clearInterval(polling);
		},
	};
}

describe('planned shutdowns', () => {
	let fleet: Fleet;

	beforeAll(async () => {
		fleet = await startFleet({engines: 3, drainMs});
	});

	afterAll(async () => {
		await fleet.stop();
	});

	it('of every host in turn, under load and behind a delayed load balancer, interrupt no request', async () => {
		const balancer = createBalancer(fleet.hosts);
		const failures: string[] = [];
		let isOver = false;
		let promptCount = 0;
		const sendCompletions = async (): Promise<void> => {
			while (!isOver) {
				const prompt = `roll ${promptCount++}`;
				const {callers: address, name} = balancer.pick();
				try {
					const response = await requestCompletion(address, fleetApiKeys.acme, {prompt, max_tokens: 30});
					if (!response.isWhole || response.text !== expectedCompletionText(prompt, 30)) {
						failures.push(`${name}: ${JSON.stringify(response.error)}`);
					}
				} catch (error) {
					failures.push(`${name}: ${String(error)}`);
				}
			}
		};

		const sendBookings = async (caller: number): Promise<void> => {
			for (let index = 0; !isOver; index++) {
				const {callers: address, name} = balancer.pick();
				try {
					const response = await sendBooking(address, fleetApiKeys.brook, `roll-${caller}-${index}`);
					if (response.status !== 200) {
						failures.push(`${name}: ${JSON.stringify(response.body)}`);
					}
				} catch (error) {
					failures.push(`${name}: ${String(error)}`);
				}
			}
		};

		const traffic = [...Array.from({length: streamCount}, async () => sendCompletions()), sendBookings(1), sendBookings(2)];
		for (const host of fleet.hosts) {
			host.process.child.kill('SIGTERM');
			expect(await host.process.waitForExit()).toBe(0);
			fleet.startHost(host);
			await fleet.ready([host]);
			await sleep(balancerLagMs + 500);
		}

		isOver = true;
		await Promise.all(traffic);
		balancer.stop();
		expect(failures).toEqual([]);
		const {runs} = await readStandInCounts(fleet.service);
		expect(Object.values(runs as Readonly<Record<string, number>>).every(runCount => runCount === 1)).toBe(true);
	}, 120_000);
});
