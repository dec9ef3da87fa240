import {expect, test} from 'vitest';
import {type CondemnedParts} from '../../src/decide/poison/condemned-parts.js';
import {poisonLimits} from '../../src/decide/poison/poison-limits.js';
import {type AdmittedRequest} from '../../src/forwarding/admitted-request.js';
import {type ObjectStore} from '../../src/object-store/object-store.js';
import {type StoredObject} from '../../src/object-store/stored-object.js';
import {createCondemnedRequestList} from '../../src/poison/create-condemned-request-list.js';
import {createPoisonRequestDetector} from '../../src/poison/create-poison-request-detector.js';
import {sleep} from '../../src/util/sleep.js';

/** After this, hosts have written and read what they are to. */
const settleMs = 200;
/** The parts were condemned long enough ago for one request with them to be tried. */
const condemnedAgeMs = poisonLimits.trialDelaysMs[0] + 1000;
const listedByOtherDelayMs = 50;

/** What a test reads of the list in the store. */
type ListValue = {readonly requests: readonly unknown[]; readonly parts: readonly CondemnedParts[]};

function condemn(parts: readonly string[], ageMs: number): CondemnedParts {
	return {parts, until: Date.now() + poisonLimits.retentionMs - ageMs, upstreams: ['u-0']};
}

function buildRequest(parts: readonly string[]): AdmittedRequest {
	return {
		request: {
			host: 'h', method: 'POST', target: '/ask', id: 'r', prompt: {model: 'm', parts: [...parts, 'last'].map(id => ({id, tokens: 1}))},
		},
	} as unknown as AdmittedRequest;
}

/** Hosts with the list in a store that tells them of each change. */
function createHosts(listed: readonly CondemnedParts[]) {
	let object: StoredObject = {
		name: 'requests', epoch: 0, revision: 1, value: {requests: [], parts: listed},
	};
	const hosts: Array<ReturnType<typeof startHost>> = [];

	const change = (value: unknown, epoch = object.epoch): StoredObject => {
		object = {
			...object, epoch, revision: object.revision + 1, value,
		};
		for (const {list} of hosts) {
			list.applyObjects([object], undefined, object.epoch);
		}

		return object;
	};

	const store: Pick<ObjectStore, 'read' | 'create' | 'replace'> = {
		read: async () => object,
		create: async () => undefined,
		replace: async (_kind, _name, value, {revision}) => revision === object.revision ? change(value) : undefined,
	};

	/** @param hasTurn - Whether it is this host that tries condemned parts. */
	function startHost(hasTurn: boolean) {
		const detector = createPoisonRequestDetector({
			checkUpstream: async () => 'up',
			now: () => performance.now(),
			hasTurn: () => hasTurn,
			onCondemn: () => undefined,
			onCondemnParts: () => undefined,
			onClearParts(parts, isOwn) {
				list.clearParts(parts, isOwn ? 0 : listedByOtherDelayMs);
			},
			isUnlisted: () => false,
			listUnlistedParts: () => [],
		});
		const list = createCondemnedRequestList({
			store, kind: 'condemned', random: () => 0, onChange: detector.addCondemned, onCleared: detector.clearParts,
		});
		list.applyObjects([object], undefined, object.epoch);
		return {detector, list, isRefused: (parts: readonly string[]) => detector.findCause(buildRequest(parts)) !== undefined};
	}

	const start = (hasTurn: boolean) => {
		const host = startHost(hasTurn);
		hosts.push(host);
		return host;
	};

	return {
		start,
		change,
		value: () => object.value as ListValue,
		epoch: () => object.epoch,
	};
}

type Hosts = ReturnType<typeof createHosts>;
type Host = ReturnType<Hosts['start']>;

/** Sends a request with the parts to try them: it completes. */
function complete(host: Host, parts: readonly string[]): void {
	expect(host.isRefused(parts)).toBe(false);
	host.detector.recordSuccess(buildRequest(parts));
}

/** Requests with a part that was cleared were refused until ten minutes after it had been condemned: its entry in the list outlasted the proof. */
test.each<readonly [string, (hosts: Hosts, trier: Host, other: Host) => Promise<Host>]>([
	['at the host that tried them', async (_hosts, trier) => trier],
	['at a host that was told', async (_hosts, trier, other) => {
		other.detector.addFindings(trier.detector.news());
		return other;
	}],
	['at a host that was not told', async (_hosts, _trier, other) => {
		await sleep(settleMs);
		return other;
	}],
	['at the host that tried them, once something else is condemned', async (_hosts, trier) => {
		trier.list.add('another request', 0);
		await sleep(settleMs);
		return trier;
	}],
	['at a host that was told, once something else is condemned', async (_hosts, trier, other) => {
		other.detector.addFindings(trier.detector.news());
		other.list.add('another request', 0);
		await sleep(settleMs);
		return other;
	}],
	['at a host that starts', async hosts => {
		await sleep(settleMs);
		return hosts.start(false);
	}],
	['at a host that starts, when the one that tried them ended at once', async (hosts, trier, other) => {
		other.detector.addFindings(trier.detector.news());
		trier.list.stop();
		await sleep(settleMs);
		return hosts.start(false);
	}],
	['at a host that starts after the store came back from a copy with them', async (hosts, trier, other) => {
		other.detector.addFindings(trier.detector.news());
		const copy = {...hosts.value()};
		await sleep(settleMs);
		hosts.change(copy, hosts.epoch() + 1);
		await sleep(settleMs);
		return hosts.start(false);
	}],
	['at the host that tried them after the store came back from a copy with them', async (hosts, trier) => {
		const copy = {...hosts.value()};
		await sleep(settleMs);
		hosts.change(copy, hosts.epoch() + 1);
		return trier;
	}],
])('requests with parts that were cleared are sent %s', async (_name, play) => {
	const hosts = createHosts([condemn(['m/sound'], condemnedAgeMs)]);
	const trier = hosts.start(true);
	const other = hosts.start(false);
	expect(other.isRefused(['sound'])).toBe(true);
	complete(trier, ['sound']);
	const asked = await play(hosts, trier, other);
	expect(asked.isRefused(['sound'])).toBe(false);
});

/** What was not cleared stays refused at hosts that start. */
test.each<readonly [string, readonly string[], (hosts: Hosts, trier: Host) => void]>([
	['other parts', ['bad'], () => undefined],
	['the parts of a set that did not complete', ['of-two'], () => undefined],
	['parts that are condemned again', ['sound'], (_hosts, trier) => {
		trier.list.addParts(condemn(['m/sound'], 0), 0);
	}],
	['parts that another host condemns again', ['sound'], hosts => {
		hosts.change({...hosts.value(), parts: [...hosts.value().parts.filter(({parts}) => !parts.includes('m/sound')), condemn(['m/sound'], 0)]});
	}],
])('%s are refused after others were cleared', async (_name, parts, condemnAgain) => {
	const hosts = createHosts([condemn(['m/sound'], condemnedAgeMs), condemn(['m/bad'], 0), condemn(['m/one', 'm/of-two'], condemnedAgeMs)]);
	const trier = hosts.start(true);
	const other = hosts.start(false);
	complete(trier, ['sound', 'one']);
	await sleep(settleMs);
	condemnAgain(hosts, trier);
	await sleep(settleMs);
	expect(hosts.start(false).isRefused(parts)).toBe(true);
	expect(other.isRefused(parts)).toBe(true);
});
