import {type EngineClient} from '../forwarding/engine-client.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type UpstreamRegistry} from '../registry/upstream-registry.js';
import {type UpstreamLinks} from '../links/upstream-links.js';
import {logFailure} from '../observe/log-failure.js';
import {log} from '../observe/log.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type KnownHost} from '../reports/known-host.js';
import {type UpstreamChecks} from './upstream-checks.js';
import {type UpstreamOpinion} from './upstream-opinion.js';

/** Hosts that are asked at once whether an upstream is up. */
const maxAsked = 4;
/** A connection attempt of the host that is asked, a probe of other upstreams, and the way there and back. */
const askTimeoutMs = 1200;

/** One host that reaches the upstream, or one that is sure that it is down, decides. */
const strongestFirst: readonly UpstreamOpinion[] = ['up', 'down', 'unsure'];

/** Dependencies of the checks. */
type UpstreamChecksOptions = {
	readonly engineClient: Pick<EngineClient, 'isUp'>;
	readonly registry: Pick<UpstreamRegistry, 'get'>;
	readonly links: Pick<UpstreamLinks, 'confirmCutOff' | 'recordConnectFailure'>;
	/** Returns the other hosts with a recent report. */
	readonly alive: () => readonly KnownHost[];
	/** Returns those that have reported within the last minute. */
	readonly listHeard: () => readonly KnownHost[];
	readonly call: PeerRpc;
	readonly random: () => number;
};

/** Creates the checks that tell an upstream that is down from one that a single host can't reach. */
export function createUpstreamChecks({engineClient, registry, links, alive, listHeard, call, random}: UpstreamChecksOptions): UpstreamChecks {
	/** Hosts that reach the service come first. */
	const chooseAsked = ({service}: Upstream): readonly KnownHost[] => alive()
		.map(host => ({host, score: random() + (host.lostServices?.includes(service) ? 1 : 0)}))
		.toSorted((a, b) => a.score - b.score)
		.slice(0, maxAsked)
		.map(({host}) => host);

	const ask = async ({id, startedAt}: Upstream, {host, peers}: KnownHost): Promise<UpstreamOpinion> => {
		try {
			const {opinion} = await call(peers, 'gateway.upstreamUp', {id, ...(startedAt === undefined ? {} : {startedAt})}, {timeoutMs: askTimeoutMs});
			return opinion;
		} catch (error) {
			logFailure(error, {upstream: id, peer: host}, 'host does not say whether an upstream is up', 'info');
			return 'nobody';
		}
	};

	/** A host that is cut off can't tell. */
	const check = async (upstream: Upstream): Promise<UpstreamOpinion> => {
		if (await engineClient.isUp(upstream.address)) {
			return 'up';
		}

		links.recordConnectFailure(upstream.id, 'refused');
		return await links.confirmCutOff() ? 'unsure' : 'down';
	};

	return {
		async askOthers(upstream) {
			const opinions = await Promise.all(chooseAsked(upstream).map(async host => ask(upstream, host)));
			const stated = strongestFirst.find(each => opinions.includes(each)) ?? 'nobody';
			// A host that hears no other one and reaches no upstream is itself cut off.
			const isCutOff = stated === 'nobody' && listHeard().length > 0 && await links.confirmCutOff();
			const opinion = isCutOff ? 'unsure' : stated;
			log.info({
				upstream: upstream.id, opinions, opinion, isCutOff,
			}, 'asked others whether an upstream is up');
			return opinion;
		},
		async answer(id, startedAt) {
			const upstream = registry.get(id);
			return upstream?.startedAt === startedAt && upstream ? check(upstream) : 'down';
		},
	};
}
