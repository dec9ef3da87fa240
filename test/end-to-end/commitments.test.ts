import {
	afterEach, describe, expect, it,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {sendBooking, type BookingResult} from '../support/send-booking.js';
import {setStandInFaults, readStandInCounts, setHostFaults} from '../support/fleet-control.js';
import {
	fleetApiKeys, startFleet, type Fleet, type FleetHost,
} from '../support/start-fleet.js';
import {waitUntil} from '../support/wait-until.js';

const attemptsPerHost = 3;

/** Sends a booking with each key through every host concurrently, several times per host, and returns all responses. */
async function bookThroughEveryHost(hosts: readonly FleetHost[], keys: readonly string[]): Promise<ReadonlyArray<{readonly key: string; readonly answer: BookingResult}>> {
	const sendRepeatedly = async (host: FleetHost, key: string) => {
		const results: Array<{readonly key: string; readonly answer: BookingResult}> = [];
		for (let attempt = 0; attempt < attemptsPerHost; attempt++) {
			try {
				results.push({key, answer: await sendBooking(host.callers, fleetApiKeys.acme, key)});
			} catch {
				// The host was killed or is paused; the next attempt sends the booking again.
			}
		}

		return results;
	};

	const all = await Promise.all(keys.flatMap(key => hosts.map(async host => sendRepeatedly(host, key))));
	return all.flat();
}

/** Checks that each key ran at most once and that the responses match the runs that the service counted. */
async function checkAgainstRuns(fleet: Fleet, responses: ReadonlyArray<{readonly key: string; readonly answer: BookingResult}>): Promise<void> {
	const {runs} = await readStandInCounts(fleet.service);
	for (const [key, count] of Object.entries(runs as Readonly<Record<string, number>>)) {
		expect(count, `runs of ${key}`).toBe(1);
	}

	for (const {key, answer} of responses) {
		if (answer.status === 200) {
			expect(runs[key]).toBe(1);
			expect(answer.body.key).toBe(key);
		} else {
			expect(['no', 'unknown', 'yes']).toContain(answer.body.error.ran);
		}
	}
}

describe('commitments run at most once', () => {
	let fleet: Fleet;

	afterEach(async () => {
		await fleet.stop();
	});

	const faults: ReadonlyArray<readonly [string, (fleet: Fleet) => Promise<void>]> = [
		['without faults', async () => undefined],
		['while responses of the platform are lost after the write', async current => {
			for (let round = 0; round < 10; round++) {
				await setStandInFaults(current.platform, {loseAnswers: 3});
				await sleep(200);
			}
		}],
		['while the platform is slow', async current => setStandInFaults(current.platform, {slowMs: 300})],
		['during an outage of the platform', async current => {
			await sleep(100);
			await setStandInFaults(current.platform, {down: true});
			await sleep(2500);
			await setStandInFaults(current.platform, {down: false});
		}],
		['while hosts are killed', async current => {
			await sleep(150);
			current.hosts[0]!.process.child.kill('SIGKILL');
			await sleep(400);
			current.hosts[2]!.process.child.kill('SIGKILL');
		}],
		['while a host is paused for longer than every lease', async current => {
			await sleep(150);
			current.hosts[1]!.process.child.kill('SIGSTOP');
			await sleep(7000);
			current.hosts[1]!.process.child.kill('SIGCONT');
		}],
		['while the failure domains are partitioned from each other', async current => {
			const [one, two] = [current.hosts.slice(0, 2), current.hosts.slice(2)];
			await Promise.all(one.map(async host => setHostFaults(host, {cutPeers: two.map(other => other.peers)})));
			await Promise.all(two.map(async host => setHostFaults(host, {cutPeers: one.map(other => other.peers)})));
			await sleep(3000);
			await Promise.all(current.hosts.map(async host => setHostFaults(host, {cutPeers: []})));
		}],
		['while responses of the service are lost', async current => {
			await setStandInFaults(current.service, {loseAnswers: true});
			await sleep(1000);
			await setStandInFaults(current.service, {loseAnswers: false});
		}],
	];

	it.each(faults)('%s', async (_name, applyFault) => {
		fleet = await startFleet({services: {deadlineMs: 4000}});
		const keys = Array.from({length: 12}, (_, index) => `key-${index}`);
		const [responses] = await Promise.all([bookThroughEveryHost(fleet.hosts, keys), applyFault(fleet)]);
		await checkAgainstRuns(fleet, responses);
		// After the faults end, a key that ran gets its stored response, and a key that was released can run.
		await setStandInFaults(fleet.platform, {slowMs: 0, down: false, loseAnswers: 0});
		const alive = fleet.hosts.filter(host => host.process.child.exitCode === null && host.process.child.signalCode === null);
		await waitUntil('the hosts to respond again', async () => (await sendBooking(alive[0]!.callers, fleetApiKeys.acme, 'after')).status === 200);
		await checkAgainstRuns(fleet, await bookThroughEveryHost(alive, keys));
	}, 120_000);

	it('when the holder is paused between its claim and the send, and resumes after its claim was given up', async () => {
		fleet = await startFleet({services: {deadlineMs: 20_000}});
		const [holder, other] = [fleet.hosts[0]!, fleet.hosts[2]!];
		await setHostFaults(holder, {sendPauseMs: 1000});
		const first = sendBooking(holder.callers, fleetApiKeys.acme, 'paused');
		await sleep(700);
		holder.process.child.kill('SIGSTOP');
		const second = await sendBooking(other.callers, fleetApiKeys.acme, 'paused');
		expect(second).toMatchObject({status: 409, body: {error: {kind: 'outcome-unknown', ran: 'unknown'}}});
		holder.process.child.kill('SIGCONT');
		await first;
		const third = await sendBooking(other.callers, fleetApiKeys.acme, 'paused');
		expect([200, 409]).toContain(third.status);
		expect((await readStandInCounts(fleet.service)).runs.paused).toBe(1);
	}, 120_000);

	it('and a retry during the run waits for its response', async () => {
		fleet = await startFleet();
		await setStandInFaults(fleet.service, {runMs: 1500});
		const responses = await Promise.all(fleet.hosts.map(async host => sendBooking(host.callers, fleetApiKeys.acme, 'slow')));
		expect(responses.map(response => response.status)).toEqual([200, 200, 200, 200]);
		expect(responses.filter(response => !response.isReplay)).toHaveLength(1);
		expect((await readStandInCounts(fleet.service)).runs.slow).toBe(1);
	});

	it('and a commitment that may have run is sent again only if the upstream checks keys', async () => {
		fleet = await startFleet({services: {checksKeys: true}});
		await setStandInFaults(fleet.service, {checksKeys: true, loseAnswers: true});
		const first = await sendBooking(fleet.hosts[0]!.callers, fleetApiKeys.acme, 'checked');
		expect(first).toMatchObject({status: 409, body: {error: {kind: 'outcome-unknown', ran: 'unknown'}}});
		await setStandInFaults(fleet.service, {loseAnswers: false});
		const second = await sendBooking(fleet.hosts[3]!.callers, fleetApiKeys.acme, 'checked');
		expect(second.status).toBe(200);
		expect((await readStandInCounts(fleet.service)).runs.checked).toBe(1);
	});

	it('and a key that was used with another body is refused', async () => {
		fleet = await startFleet({hostsPerDomain: 1});
		await sendBooking(fleet.hosts[0]!.callers, fleetApiKeys.acme, 'twice', 1);
		expect(await sendBooking(fleet.hosts[1]!.callers, fleetApiKeys.acme, 'twice', 2)).toMatchObject({status: 422, body: {error: {kind: 'key-reused', ran: 'no'}}});
		expect(await sendBooking(fleet.hosts[1]!.callers, fleetApiKeys.brook, 'twice', 2)).toMatchObject({status: 200, isReplay: false});
	});

	it('and are refused with ran "no" while the platform is unreachable', async () => {
		fleet = await startFleet();
		await setStandInFaults(fleet.platform, {down: true});
		const refused = await sendBooking(fleet.hosts[0]!.callers, fleetApiKeys.acme, 'outage');
		expect(refused).toMatchObject({status: 503, body: {error: {kind: 'platform-unavailable', ran: 'no', retryAfterMs: expect.any(Number)}}});
		expect((await readStandInCounts(fleet.service)).runs).toEqual({});
	});
});
