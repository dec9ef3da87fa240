// Guards against a stream that goes on at another software version, at a host that has not heard of the release: docs/incidents/streams-at-a-host-out-of-step.md.
import {describe, expect, test} from 'vitest';
import {sleep} from '../../src/util/sleep.js';
import {createRelease, type ReleaseName} from '../support/create-release.js';
import {type RawResponse} from '../support/send-raw-request.js';
import {startSeparableSystem, type SeparableSystem} from '../support/start-separable-system.js';
import {
	type BegunStream, beginStream, listVersions, takeUpStream,
} from '../support/versioned-streams.js';

const streams = 12;
/** Time in which a host hears of a release. */
const noticeMs = 300;

const cuts = {
	async others({hosts: [first, second]}: SeparableSystem) {
		await second!.cutFromHosts([first!]);
		// Nor does the first one answer calls.
		await first!.cutFromHosts([second!]);
	},
	async store({hosts}: SeparableSystem) {
		await hosts[1]!.cutFromStore();
	},
	async both(system: SeparableSystem) {
		await Promise.all([cuts.others(system), cuts.store(system)]);
	},
	async 'both, for two of three'({hosts: [first, ...rest]}: SeparableSystem) {
		await first!.cutFromHosts(rest);
		await Promise.all(rest.map(async host => host.cutFromStore()));
	},
	async 'the store, for all'({hosts}: SeparableSystem) {
		await Promise.all(hosts.map(async host => host.cutFromStore()));
	},
	async none() {
		// All in touch.
	},
};

type CutName = keyof typeof cuts;
const cutNames: readonly CutName[] = ['others', 'store', 'both', 'both, for two of three'];
const releaseNames: readonly ReleaseName[] = ['added', 'replaced', 'old ones gone'];
const moments = ['during', 'at once on return'] as const;

/** Begins streams at the first host after a release, breaks them off and has them taken up at the second. */
async function play(cut: CutName, release: ReleaseName, durationMs: number, moment: typeof moments[number]): Promise<ReadonlyArray<readonly [BegunStream, RawResponse]>> {
	const {prepare, releases, stop} = createRelease();
	const system = await startSeparableSystem(cut === 'both, for two of three' ? ['domain-a', 'domain-a', 'domain-b'] : ['domain-a', 'domain-b'], prepare);
	const [first, second] = system.hosts.map(({gateway}) => gateway.callers);
	await cuts[cut](system);
	const cutAt = performance.now();
	await sleep(Math.max(0, durationMs - noticeMs));
	await releases[release](system.store);
	await sleep(noticeMs);
	const begun = await Promise.all(Array.from({length: streams}, async (_, index) => beginStream(first!, `first-${index}-${cutAt}`)));
	if (moment === 'at once on return') {
		await Promise.all(system.hosts.map(async host => host.heal()));
	}

	const responses = await Promise.all(begun.map(async (stream, index) => takeUpStream(second!, stream, index)));
	await system.stop();
	stop();
	return begun.map((stream, index) => [stream, responses[index]!]);
}

describe.concurrent('a stream that began at one version goes on at that version or is refused, at a host that has not heard of a release', () => {
	test.each(cutNames.flatMap(cut => [500, 2000, 6000].flatMap(durationMs => releaseNames.flatMap(release => moments.map(moment => [
		`cut off from ${cut} for ${durationMs} ms, new upstreams ${release}, taken up ${moment}`, cut, release, durationMs, moment,
	] as const)))))('%s', async (_name, cut, release, durationMs, moment) => {
		const played = await play(cut, release, durationMs, moment);
		expect(played.flatMap(([{version}, {text}]) => listVersions(text).filter(each => each !== version))).toEqual([]);
		expect(played.map(([, {status}]) => status).filter(status => ![200, 503].includes(status))).toEqual([]);
		expect(played.filter(([, {status, isWhole}]) => status === 200 && !isWhole)).toEqual([]);
	});
});

describe.concurrent('streams of a service with one version go on', () => {
	test.each([
		['at a host in touch', 'none', 500],
		['at a host that is cut off from the others', 'others', 2000],
		['at a host that is cut off from the others for long', 'others', 6000],
		['at a host that is cut off from the store', 'store', 6000],
		['while the store is away for all', 'the store, for all', 6000],
	] as const)('%s', async (_name, cut, durationMs) => {
		const played = await play(cut, 'none', durationMs, 'during');
		expect(played.map(([, {status, isWhole}]) => [status, isWhole])).toEqual(played.map(() => [200, true]));
	});
});

describe('a stream that is taken up as upstreams of a new version come', () => {
	test('goes on at its version, also after the first upstream has refused it', async () => {
		const {prepare, releases, setRefusing, stop} = createRelease();
		const {store, hosts, stop: stopHosts} = await startSeparableSystem(['domain-a'], prepare);
		const {callers} = hosts[0]!.gateway;
		const begun = await Promise.all(Array.from({length: streams}, async (_, index) => beginStream(callers, `as-it-comes-${index}`)));
		// The host that takes them up has not begun them.
		const responses = begun.map(async (stream, index) => takeUpStream(callers, {...stream, id: `unknown-${index}`}, index));
		setRefusing(2 * noticeMs);
		await sleep(noticeMs);
		await releases.added(store);
		const played = await Promise.all(responses);
		await stopHosts();
		stop();
		expect(played.flatMap(({text}) => listVersions(text).filter(version => version !== 'v1'))).toEqual([]);
	});
});

describe.concurrent('streams of a service with several versions go on where host and store, or the other hosts, are in touch', () => {
	test.each([
		['at a host in touch', 'none', 500],
		['at a host that is cut off from the store', 'store', 2000],
	] as const)('%s', async (_name, cut, durationMs) => {
		const played = await play(cut, 'added', durationMs, 'during');
		expect(played.map(([{version}, {status, text}]) => [status, new Set(listVersions(text))])).toEqual(played.map(([{version}]) => [200, new Set([version])]));
	});
});
