// Guards against docs/incidents/requests-cut-while-a-stopping-host-stores.md, on the project's own wire.
import {
	afterEach, beforeEach, describe, expect, test,
} from 'vitest';
import {request} from 'undici';
import {sleep} from '../../src/util/sleep.js';
import {readStandInCounts, setHostFaults, setStandInFaults} from '../support/fleet-control.js';
import {sendBooking} from '../support/send-booking.js';
import {fleetApiKeys, startFleet, type Fleet} from '../support/start-fleet.js';

/** Requests are under way nearly all of the time. */
const runMs = 1000;
const pauseMs = 300;
const claimedMs = 500;

let fleet: Fleet;

beforeEach(async () => {
	fleet = await startFleet({
		domains: ['west-1'], hostsPerDomain: 1, engines: 1, drainMs: 200,
	});
	await setStandInFaults(fleet.service, {runMs});
});

afterEach(async () => {
	await fleet.stop();
});

/** Sends a read; returns whether it was answered, or never reached the service. */
async function isReadSound(callers: string): Promise<boolean> {
	const {reads} = await readStandInCounts(fleet.service);
	try {
		const response = await request(`http://${callers}/services/booking/slots`, {headers: {authorization: `Bearer ${fleetApiKeys.brook}`}});
		await response.body.text();
		return response.statusCode === 200;
	} catch {
		const {reads: after} = await readStandInCounts(fleet.service);
		return after === reads;
	}
}

/** A host that had no request under way waited for the platform to take the last outcome, took requests meanwhile, and cut them. */
describe('a host that stops while the platform does not take an outcome', () => {
	test('answers each request that it has passed on', async () => {
		const [host] = fleet.hosts;
		const booking = sendBooking(host!.callers, fleetApiKeys.brook, 'last-one');
		await sleep(claimedMs);
		await setHostFaults(host!, {cutPlatform: true});
		await booking;
		let isGone = false;
		host!.process.child.kill('SIGTERM');
		const exited = (async () => {
			await host!.process.waitForExit();
			isGone = true;
		})();
		const sound: boolean[] = [];
		while (!isGone) {
			sound.push(await isReadSound(host!.callers));
			await sleep(pauseMs);
		}

		await exited;
		expect(sound.length).toBeGreaterThan(3);
		expect(sound).toEqual(sound.map(() => true));
	}, 60_000);
});
