import {
	afterEach, describe, expect, it,
} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {book, type Booking} from '../support/book.js';
import {control, readCounts, setFaults} from '../support/control.js';
import {
	fleetKeys, startFleet, type Fleet, type FleetHost,
} from '../support/fleet.js';
import {waitUntil} from '../support/wait-until.js';

const attempts = 3;

/** Sends each key through every host at once, again and again; a refusal that says so is retried by the caller. */
async function bookEverywhere(hosts: readonly FleetHost[], keys: readonly string[]): Promise<ReadonlyArray<{readonly key: string; readonly answer: Booking}>> {
	const one = async (host: FleetHost, key: string) => {
		const seen: Array<{readonly key: string; readonly answer: Booking}> = [];
		for (let attempt = 0; attempt < attempts; attempt++) {
			try {
				seen.push({key, answer: await book(host.callers, fleetKeys.acme, key)});
			} catch {
				// The host was killed or is frozen; a caller sends again.
			}
		}

		return seen;
	};

	const all = await Promise.all(keys.flatMap(key => hosts.map(async host => one(host, key))));
	return all.flat();
}

/** Compares what callers were told with what the service counted. */
async function checkTruth(fleet: Fleet, answers: ReadonlyArray<{readonly key: string; readonly answer: Booking}>): Promise<void> {
	const {runs} = await readCounts(fleet.service);
	for (const [key, count] of Object.entries(runs as Readonly<Record<string, number>>)) {
		expect(count, `runs of ${key}`).toBe(1);
	}

	for (const {key, answer} of answers) {
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
		['while answers of the platform are lost after the write', async now => {
			for (let round = 0; round < 10; round++) {
				await control(now.platform, {loseAnswers: 3});
				await sleep(200);
			}
		}],
		['while the platform is slow', async now => control(now.platform, {slowMs: 300})],
		['through an outage of the platform', async now => {
			await sleep(100);
			await control(now.platform, {down: true});
			await sleep(2500);
			await control(now.platform, {down: false});
		}],
		['while hosts are killed', async now => {
			await sleep(150);
			now.hosts[0]!.process.child.kill('SIGKILL');
			await sleep(400);
			now.hosts[2]!.process.child.kill('SIGKILL');
		}],
		['while hosts are frozen past every lease', async now => {
			await sleep(150);
			now.hosts[1]!.process.child.kill('SIGSTOP');
			await sleep(7000);
			now.hosts[1]!.process.child.kill('SIGCONT');
		}],
		['while the domains are cut off from each other', async now => {
			const [one, two] = [now.hosts.slice(0, 2), now.hosts.slice(2)];
			await Promise.all(one.map(async host => setFaults(host, {cutPeers: two.map(other => other.peers)})));
			await Promise.all(two.map(async host => setFaults(host, {cutPeers: one.map(other => other.peers)})));
			await sleep(3000);
			await Promise.all(now.hosts.map(async host => setFaults(host, {cutPeers: []})));
		}],
		['while the service loses its answers', async now => {
			await control(now.service, {loseAnswers: true});
			await sleep(1000);
			await control(now.service, {loseAnswers: false});
		}],
	];

	it.each(faults)('%s', async (_name, fail) => {
		fleet = await startFleet({services: {deadlineMs: 4000}});
		const keys = Array.from({length: 12}, (_, index) => `key-${index}`);
		const [answers] = await Promise.all([bookEverywhere(fleet.hosts, keys), fail(fleet)]);
		await checkTruth(fleet, answers);
		// Once all is well, a key that ran is answered with its run, and one that was released can run.
		await control(fleet.platform, {slowMs: 0, down: false, loseAnswers: 0});
		const alive = fleet.hosts.filter(host => host.process.child.exitCode === null && host.process.child.signalCode === null);
		await waitUntil('the hosts to answer again', async () => (await book(alive[0]!.callers, fleetKeys.acme, 'after')).status === 200);
		await checkTruth(fleet, await bookEverywhere(alive, keys));
	}, 120_000);

	it('when the holder is frozen between its claim and the send, and acts after it has been given up', async () => {
		fleet = await startFleet({services: {deadlineMs: 20_000}});
		const [holder, other] = [fleet.hosts[0]!, fleet.hosts[2]!];
		await setFaults(holder, {sendPauseMs: 1000});
		const first = book(holder.callers, fleetKeys.acme, 'paused');
		await sleep(700);
		holder.process.child.kill('SIGSTOP');
		const second = await book(other.callers, fleetKeys.acme, 'paused');
		expect(second).toMatchObject({status: 409, body: {error: {kind: 'outcome-unknown', ran: 'unknown'}}});
		holder.process.child.kill('SIGCONT');
		await first;
		const third = await book(other.callers, fleetKeys.acme, 'paused');
		expect([200, 409]).toContain(third.status);
		expect((await readCounts(fleet.service)).runs.paused).toBe(1);
	}, 120_000);

	it('and a retry while it runs waits for the answer', async () => {
		fleet = await startFleet();
		await control(fleet.service, {runMs: 1500});
		const answers = await Promise.all(fleet.hosts.map(async host => book(host.callers, fleetKeys.acme, 'slow')));
		expect(answers.map(answer => answer.status)).toEqual([200, 200, 200, 200]);
		expect(answers.filter(answer => !answer.isReplay)).toHaveLength(1);
		expect((await readCounts(fleet.service)).runs.slow).toBe(1);
	});

	it('and what may have run is sent again only where the upstream checks keys', async () => {
		fleet = await startFleet({services: {checksKeys: true}});
		await control(fleet.service, {checksKeys: true, loseAnswers: true});
		const first = await book(fleet.hosts[0]!.callers, fleetKeys.acme, 'checked');
		expect(first).toMatchObject({status: 409, body: {error: {kind: 'outcome-unknown', ran: 'unknown'}}});
		await control(fleet.service, {loseAnswers: false});
		const second = await book(fleet.hosts[3]!.callers, fleetKeys.acme, 'checked');
		expect(second.status).toBe(200);
		expect((await readCounts(fleet.service)).runs.checked).toBe(1);
	});

	it('and a key that was used for another body is refused', async () => {
		fleet = await startFleet({hostsPerDomain: 1});
		await book(fleet.hosts[0]!.callers, fleetKeys.acme, 'twice', 1);
		expect(await book(fleet.hosts[1]!.callers, fleetKeys.acme, 'twice', 2)).toMatchObject({status: 422, body: {error: {kind: 'key-reused', ran: 'no'}}});
		expect(await book(fleet.hosts[1]!.callers, fleetKeys.brook, 'twice', 2)).toMatchObject({status: 200, isReplay: false});
	});

	it('and are refused with ran "no" while the platform is out of reach, as reads go on', async () => {
		fleet = await startFleet();
		await control(fleet.platform, {down: true});
		const refused = await book(fleet.hosts[0]!.callers, fleetKeys.acme, 'outage');
		expect(refused).toMatchObject({status: 503, body: {error: {kind: 'platform-unavailable', ran: 'no', retryAfterMs: expect.any(Number)}}});
		expect((await readCounts(fleet.service)).runs).toEqual({});
	});
});
