import {shareRunning} from '../util/share-running.js';
import {sleep} from '../util/sleep.js';
import {type EngineClient} from '../forwarding/engine-client.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type CrashChecker} from './crash-checker.js';
import {type UpstreamChecks} from './upstream-checks.js';
import {type CrashCheckResult} from './crash-check-result.js';

/** Delay of the probe after a response broke off; a crashed upstream refuses connections by then. */
const probeDelayMs = 20;
/** The registration of a crashed upstream disappears some heartbeats after the crash; until then its successor may have its address. */
const registryCheckIntervalMs = 500;
const registryChecks = 10;

/** Options of `createCrashChecker`. */
type CrashCheckerOptions = {
	readonly engineClient: Pick<EngineClient, 'isUp'>;
	readonly registry: Pick<UpstreamRegistry, 'get'>;
	/** Asks other hosts whether an upstream is up. */
	readonly askOthers: UpstreamChecks['askOthers'];
};

/**
Creates the function that checks whether an upstream has crashed that ended a request without a response. A request that this host gave up
says nothing about the address, which is not probed then. An upstream that this host can't reach and others can has not crashed: the link is lost.
*/
export function createCrashChecker({engineClient, registry, askOthers}: CrashCheckerOptions): CrashChecker {
	/** All requests that were in flight at an upstream share a probe of its address. */
	const probe = shareRunning(async (address: string) => engineClient.isUp(address));

	const findSameStart = ({id, startedAt}: Upstream): Upstream | undefined => {
		const registered = registry.get(id);
		return registered?.startedAt === startedAt ? registered : undefined;
	};

	/** The registration of an upstream that leaves as planned disappears too. */
	const waitUntilGone = async (upstream: Upstream): Promise<CrashCheckResult> => {
		for (let check = 0; check < registryChecks; check++) {
			const registered = findSameStart(upstream);
			if (!registered) {
				return 'gone';
			}

			if (registered.isLeaving) {
				return 'up';
			}

			await sleep(registryCheckIntervalMs);
		}

		return 'up';
	};

	return async (upstream, isGivenUp) => {
		if (isGivenUp) {
			return waitUntilGone(upstream);
		}

		await sleep(probeDelayMs);
		if (await probe(upstream.address)) {
			return waitUntilGone(upstream);
		}

		const opinion = await askOthers(upstream);
		return opinion === 'down' || opinion === 'nobody' ? 'down' : waitUntilGone(upstream);
	};
}
