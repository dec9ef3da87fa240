import {sleep} from '../util/sleep.js';
import {type ListedHost} from '../platform/listed-host.js';
import {type PlatformObject} from '../platform/platform-object.js';
import {serveStandIn} from './serve-stand-in.js';
import {type StandIn} from './stand-in.js';

const maxValueBytes = 1024 * 1024;

/** Rate limit that applies to each kind of call. */
const rateLimitGroups = {
	read: 'read', list: 'read', watch: 'read', hosts: 'read', write: 'write',
} as const;

/** Faults and limits of the platform stand-in, set over `POST /control`. */
type PlatformStandInFaults = {
	/** Responds to every call with status 503. */
	readonly down: boolean;
	/** Delay of every response, in milliseconds. */
	readonly slowMs: number;
	/** Number of further writes that take effect but get no response. */
	readonly loseAnswers: number;
	/** Writes per second; those beyond get status 429. */
	readonly writesPerS: number;
	/** Reads per second, including lists, watches and the host list; those beyond get status 429. */
	readonly readsPerS: number;
	/** Makes reads return the version before the newest one. */
	readonly staleReads: boolean;
	/** Delay before a change of the host list becomes visible, in milliseconds. */
	readonly hostLagMs: number;
};

/**
Creates a stand-in for the platform's object API: versions, conditional updates, watches, a lagging host list and call
counts. `POST /control` accepts {@link PlatformStandInFaults} and `{hosts}`; `GET /calls` returns the number of calls by kind and by second.
*/
export async function createPlatformStandIn(address = '127.0.0.1:0'): Promise<StandIn> {
	const objects = new Map<string, PlatformObject>();
	const previousVersions = new Map<string, PlatformObject>();
	const wakeCallbacks = new Map<string, Set<() => void>>();
	const counts: Record<string, number> = {};
	const bySecond: Record<string, number> = {};
	let faults: PlatformStandInFaults = {
		down: false, slowMs: 0, loseAnswers: 0, writesPerS: 600, readsPerS: 2000, staleReads: false, hostLagMs: 0,
	};
	let hosts: readonly ListedHost[] = [];
	let rateWindow = {second: 0, read: 0, write: 0};

	/** Counts a call; returns whether it is within its rate limit. */
	const countCall = (kind: keyof typeof rateLimitGroups): boolean => {
		const second = Math.floor(Date.now() / 1000);
		counts[kind] = (counts[kind] ?? 0) + 1;
		bySecond[second] = (bySecond[second] ?? 0) + 1;
		if (rateWindow.second !== second) {
			rateWindow = {second, read: 0, write: 0};
		}

		const rateLimitGroup = rateLimitGroups[kind];
		rateWindow[rateLimitGroup]++;
		return rateWindow[rateLimitGroup] <= (rateLimitGroup === 'write' ? faults.writesPerS : faults.readsPerS);
	};

	/** Writes an object if its current version is `expected`; version 0 stands for an object that does not exist. */
	const write = (key: string, value: string, expected: number): readonly [number, unknown] => {
		if (Buffer.byteLength(value) > maxValueBytes) {
			return [413, {error: 'value too large'}];
		}

		const current = objects.get(key);
		if ((current?.version ?? 0) !== expected) {
			return [412, {version: current?.version ?? 0}];
		}

		if (current) {
			previousVersions.set(key, current);
		}

		const next = {key, version: expected + 1, value};
		objects.set(key, next);
		for (const wake of wakeCallbacks.get(key) ?? []) {
			wake();
		}

		return [200, {key, version: next.version}];
	};

	/** Waits up to `waitMs` for a version of an object newer than `after`; responds with status 204 if there is none. */
	const watch = async (key: string, after: number, waitMs: number): Promise<readonly [number, unknown]> => {
		if ((objects.get(key)?.version ?? 0) <= after) {
			await new Promise<void>(resolve => {
				const keyCallbacks = wakeCallbacks.get(key) ?? new Set();
				wakeCallbacks.set(key, keyCallbacks);
				const wake = () => {
					clearTimeout(timer);
					keyCallbacks.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, waitMs);
				keyCallbacks.add(wake);
			});
		}

		const object = objects.get(key);
		return object && object.version > after && !faults.down ? [200, object] : [204, undefined];
	};

	const classifyCall = (method: string, resource: string | undefined, key: string): keyof typeof rateLimitGroups => {
		if (resource === 'watch' || resource === 'hosts') {
			return resource;
		}

		if (method === 'PUT') {
			return 'write';
		}

		return key === '' ? 'list' : 'read';
	};

	const applyControl = (body: Partial<PlatformStandInFaults> & {readonly hosts?: readonly ListedHost[]}): void => {
		const {hosts: newHosts, ...changed} = body;
		faults = {...faults, ...changed};
		if (newHosts) {
			setTimeout(() => {
				hosts = newHosts;
			}, faults.hostLagMs);
		}

		if (faults.down) {
			for (const keyCallbacks of wakeCallbacks.values()) {
				for (const wake of keyCallbacks) {
					wake();
				}
			}
		}
	};

	return serveStandIn(address, async ({method, path, query, headers, body, res}) => {
		if (path === '/control') {
			applyControl(body);
			return [200, {}];
		}

		if (path === '/calls') {
			return [200, {counts, bySecond}];
		}

		const [, resource, encoded] = path.split('/');
		const key = decodeURIComponent(encoded ?? '');
		const kind = classifyCall(method, resource, key);
		const allowed = countCall(kind);
		if (faults.slowMs > 0) {
			await sleep(faults.slowMs);
		}

		if (faults.down) {
			return [503, {error: 'down'}];
		}

		if (!allowed) {
			return [429, {error: 'rate limit'}];
		}

		switch (kind) {
			case 'hosts': {
				return [200, {hosts}];
			}

			case 'list': {
				const prefix = query.get('prefix') ?? '';
				return [200, {keys: [...objects.keys()].filter(name => name.startsWith(prefix))}];
			}

			case 'write': {
				const response = write(key, body.value as string, Number(headers['if-match']));
				if (faults.loseAnswers > 0) {
					faults = {...faults, loseAnswers: faults.loseAnswers - 1};
					res.destroy();
					return undefined;
				}

				return response;
			}

			case 'watch': {
				return watch(key, Number(query.get('after')), Number(query.get('waitMs')));
			}

			case 'read': {
				const object = (faults.staleReads ? previousVersions.get(key) : undefined) ?? objects.get(key);
				return object ? [200, object] : [404, {error: 'absent'}];
			}
		}
	});
}
