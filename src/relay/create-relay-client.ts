import {chooseHelper} from '../decide/relay/choose-helper.js';
import {type UpstreamConnectionPool} from '../forwarding/upstream-connection-pool.js';
import {type KnownHost} from '../reports/known-host.js';
import {type RelayClient} from './relay-client.js';

/** A host that could not help is passed over for this long. */
const refusalMs = 500;
/** Requests that this host may have under way at one other host. */
const maxInFlight = 192;

/** Another host as a helper. */
type Helper = {
	readonly pool: UpstreamConnectionPool;
	inFlight: number;
	passedOverUntil: number;
};

/** Dependencies of the relay client. */
type RelayClientOptions = {
	/** Failure domain of this host. */
	readonly domain: string;
	/** Returns the other hosts with a recent report. */
	readonly alive: () => readonly KnownHost[];
	readonly openPool: (address: string) => UpstreamConnectionPool;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
};

/** Creates the client. Connections to a host are opened on demand, one for each request under way. */
export function createRelayClient({domain, alive, openPool, now, random}: RelayClientOptions): RelayClient {
	/** By address, since a host that was replaced may come back at another one. */
	const helpers = new Map<string, Helper>();

	const findHelper = (address: string): Helper => {
		const known = helpers.get(address);
		if (known) {
			return known;
		}

		const helper = {pool: openPool(address), inFlight: 0, passedOverUntil: Number.NEGATIVE_INFINITY};
		helpers.set(address, helper);
		return helper;
	};

	const removeGone = (hosts: readonly KnownHost[]): void => {
		const addresses = new Set(hosts.map(({reports}) => reports));
		for (const [address, {pool, inFlight}] of helpers) {
			if (!addresses.has(address) && inFlight === 0) {
				helpers.delete(address);
				pool.close();
			}
		}
	};

	return {
		chooseHelper(service, {excluded, avoided, hasRun}) {
			const hosts = alive();
			removeGone(hosts);
			const candidates = hosts
				.filter(({host, lostServices = [], countsAttempts}) => !excluded.has(host) && !lostServices.includes(service) && (!hasRun || countsAttempts === true))
				.map(host => ({host, domain: host.domain, helper: helpers.get(host.reports)}))
				.filter(({helper}) => !helper || (helper.inFlight < maxInFlight && helper.passedOverUntil <= now()));
			return chooseHelper(candidates.map(({host, domain: ofHost, helper}) => ({
				host, domain: ofHost, inFlight: helper?.inFlight ?? 0, isAvoided: avoided.has(host.host),
			})), domain, random);
		},
		send({reports}, request, listener) {
			const helper = findHelper(reports);
			helper.inFlight++;
			return helper.pool.send(request, {
				onHead: listener.onHead,
				onData: listener.onData,
				onEnd() {
					helper.inFlight--;
					return listener.onEnd();
				},
				onFail(error, wasSent) {
					helper.inFlight--;
					listener.onFail(error, wasSent);
				},
			});
		},
		recordRefusal(host) {
			const known = alive().find(candidate => candidate.host === host);
			if (known) {
				findHelper(known.reports).passedOverUntil = now() + refusalMs;
			}
		},
		stop() {
			for (const {pool} of helpers.values()) {
				pool.close();
			}
		},
	};
}
