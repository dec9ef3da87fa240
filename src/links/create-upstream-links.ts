import {createDomainReachability} from '../decide/forwarding/create-domain-reachability.js';
import {findSuspectedLinks} from '../decide/links/find-suspected-links.js';
import {type Upstream} from '../forwarding/upstream.js';
import {log} from '../observe/log.js';
import {every} from '../util/every.js';
import {type LinkLoss} from './link-loss.js';
import {type UpstreamLinks} from './upstream-links.js';

const checkIntervalMs = 100;
const probeTimeoutMs = 500;
/** Least time between two probes of lost links, and between two of one upstream. */
const probeIntervalMs = 500;
const upstreamProbeIntervalMs = 1000;
/** After a link is back, the others are probed, within this time for each and so many at once. */
const healingProbeMs = 10;
const healingMs = 1000;
const maxHealingProbes = 8;
/** Upstreams probed to confirm that all links are lost. */
const maxConfirmingProbes = 3;
/** An upstream that was heard within this time is not silent. */
const liveMs = 600;
/** A link that carried bytes within this time needs no check before a request that can't be repeated. */
const recentContactMs = 1000;
/** Key under which all upstreams together count as one failure domain. */
const allDomains = '*';

/** The link to one upstream. Times are in milliseconds of the monotonic clock. */
type Link = {
	readonly upstream: Upstream;
	readonly onSilent: () => void;
	/** Start times of requests under way. */
	readonly uses: Set<{readonly since: number}>;
	lastContactAt: number;
	loss: LinkLoss | undefined;
	lostAt: number;
	nextProbeAt: number;
	probe: Promise<boolean> | undefined;
};

/** Dependencies of the links. */
type UpstreamLinksOptions = {
	/** Sends a request that needs no work to an upstream; returns whether any response arrives, `undefined` if none may be sent now. Never throws. */
	readonly ping: (upstream: Upstream, timeoutMs: number) => Promise<boolean | undefined>;
	/** Counts a probe against the limit that an upstream states; returns the least time to the next one, in milliseconds. */
	readonly chargeProbe: (upstream: Upstream) => number;
	/** Monotonic clock in milliseconds. */
	readonly now: () => number;
	readonly random: () => number;
};

/**
Creates the watch over the links to all upstreams. Fault pattern: a host is cut off from upstreams while callers, the store and other hosts
still reach it. A link counts as lost if no connection can be opened, or if its upstream is silent and does not respond to a probe either; if
several are lost and no upstream is heard, all are. Lost links are probed, a few a second, and no caller's request is sent there meanwhile.
*/
export function createUpstreamLinks({ping, chargeProbe, now, random}: UpstreamLinksOptions): UpstreamLinks {
	const links = new Map<string, Link>();
	const reachability = createDomainReachability();
	let lastContactAt = now();
	let lastProbeAt = Number.NEGATIVE_INFINITY;
	let healingUntil = Number.NEGATIVE_INFINITY;
	let wasCutOff = false;

	const isCutOff = (): boolean => reachability.isPartitioned(allDomains, now());

	const logCutOff = (): void => {
		if (isCutOff() !== wasCutOff) {
			wasCutOff = !wasCutOff;
			log.warn({isCutOff: wasCutOff, lost: [...links.values()].filter(({loss}) => loss !== undefined).length, upstreams: links.size}, 'links to all upstreams');
		}
	};

	/** While all links of a failure domain seem lost, those that are not known to be are in doubt too. */
	const isDoubtful = ({loss, upstream: {domain}}: Link): boolean => loss !== undefined || isCutOff() || reachability.isPartitioned(domain, now());

	/** Several upstreams that have crashed at a quiet time look like a cut, until another one responds. */
	const confirmCutOff = async (): Promise<boolean> => {
		const doubtful = [...links.values()].filter(link => link.loss === undefined && isDoubtful(link));
		await Promise.all(doubtful.slice(0, maxConfirmingProbes).map(async link => probe(link)));
		return isCutOff();
	};

	const recordContact = (link: Link): void => {
		link.lastContactAt = now();
		lastContactAt = now();
		reachability.recordContact(link.upstream.domain, now());
		reachability.recordContact(allDomains, now());
	};

	const recordBack = (link: Link): void => {
		log.info({
			upstream: link.upstream.id, service: link.upstream.service, lostForMs: Math.round(now() - link.lostAt), loss: link.loss,
		}, 'link to upstream back');
		link.loss = undefined;
		const lost = [...links.values()].filter(({loss}) => loss !== undefined);
		for (const other of lost) {
			other.nextProbeAt = Math.min(other.nextProbeAt, now() + (random() * healingProbeMs * lost.length));
		}

		healingUntil = now() + healingMs;
	};

	const recordLoss = (link: Link, loss: LinkLoss): void => {
		const {id, domain, service} = link.upstream;
		reachability.recordConnectFailure(domain, id, now());
		reachability.recordConnectFailure(allDomains, id, now());
		link.nextProbeAt = Math.max(link.nextProbeAt, now() + (upstreamProbeIntervalMs * (0.5 + random())));
		if (link.loss !== loss) {
			link.lostAt = link.loss === undefined ? now() : link.lostAt;
			link.loss = loss;
			log.warn({
				upstream: id, service, loss, inFlight: link.uses.size, sinceContactMs: Math.round(now() - link.lastContactAt),
			}, 'link to upstream lost');
			if (loss === 'silent') {
				link.onSilent();
			}
		}

		if (isCutOff() && !wasCutOff) {
			void confirmCutOff();
		}

		logCutOff();
	};

	const runProbe = async (link: Link): Promise<boolean> => {
		const startedAt = now();
		link.nextProbeAt = startedAt + Math.max(chargeProbe(link.upstream), upstreamProbeIntervalMs * (0.5 + random()));
		const isUp = await ping(link.upstream, probeTimeoutMs);
		if (isUp === undefined || links.get(link.upstream.id) !== link) {
			return isUp ?? link.loss === undefined;
		}

		if (isUp) {
			recordContact(link);
			if (link.loss !== undefined) {
				recordBack(link);
			}
		} else if (link.lastContactAt < startedAt) {
			recordLoss(link, now() - startedAt >= probeTimeoutMs ? 'silent' : 'refused');
		}

		logCutOff();
		return isUp;
	};

	const probe = async (link: Link): Promise<boolean> => {
		link.probe ??= runProbe(link).finally(() => {
			link.probe = undefined;
		});
		return link.probe;
	};

	const getSilentMs = ({uses, lastContactAt: contactAt}: Link): number => {
		let oldest = Number.POSITIVE_INFINITY;
		for (const {since} of uses) {
			oldest = Math.min(oldest, since);
		}

		return now() - Math.max(oldest, contactAt);
	};

	const probeSuspected = (): void => {
		const busy = [...links.values()].filter(({uses, loss}) => uses.size > 0 && loss === undefined);
		for (const id of findSuspectedLinks(busy.map(link => ({id: link.upstream.id, silentMs: getSilentMs(link)})), now() - lastContactAt)) {
			const link = links.get(id)!;
			if (link.nextProbeAt <= now()) {
				void probe(link);
			}
		}
	};

	const probeLost = (): void => {
		const isHealing = now() < healingUntil;
		if (!isHealing && now() - lastProbeAt < probeIntervalMs) {
			return;
		}

		const due = [...links.values()].filter(link => link.nextProbeAt <= now() && isDoubtful(link)).toSorted((a, b) => a.nextProbeAt - b.nextProbeAt);
		for (const link of due.slice(0, isHealing ? maxHealingProbes : 1)) {
			lastProbeAt = now();
			void probe(link);
		}
	};

	const stopChecking = every(checkIntervalMs, 'checks of links', () => {
		probeSuspected();
		probeLost();
		logCutOff();
	});

	return {
		add(upstream, onSilent) {
			links.set(upstream.id, {
				upstream, onSilent, uses: new Set(), lastContactAt: now(), loss: undefined, lostAt: 0, nextProbeAt: 0, probe: undefined,
			});
		},
		remove(id) {
			links.delete(id);
		},
		use(id) {
			const link = links.get(id);
			const use = {since: now()};
			link?.uses.add(use);
			return {
				recordContact() {
					if (link) {
						recordContact(link);
						if (link.loss === 'silent') {
							recordBack(link);
						}
					}
				},
				end() {
					link?.uses.delete(use);
				},
			};
		},
		recordConnectFailure(id, loss) {
			const link = links.get(id);
			if (link) {
				// While bytes arrive on other connections, the upstream is only slow to accept new ones.
				recordLoss(link, now() - link.lastContactAt < liveMs ? 'refused' : loss);
			}
		},
		recordBroken(id) {
			const link = links.get(id);
			if (link && link.nextProbeAt <= now()) {
				void probe(link);
			}
		},
		isReachable(id, hasIdleConnection) {
			const link = links.get(id);
			if (!link || isCutOff() || reachability.isPartitioned(link.upstream.domain, now())) {
				return false;
			}

			return link.loss === undefined || (link.loss === 'refused' && hasIdleConnection);
		},
		confirmCutOff,
		async verify(id) {
			const link = links.get(id);
			return !link || now() - Math.max(link.lastContactAt, lastContactAt) < recentContactMs || probe(link);
		},
		stop() {
			stopChecking();
		},
	};
}
