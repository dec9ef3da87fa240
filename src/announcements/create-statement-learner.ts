import {logFailure} from '../observe/log-failure.js';
import {type PeerRpc} from '../peers/peer-rpc.js';
import {type KnownHost} from '../reports/known-host.js';
import {sleep} from '../util/sleep.js';
import {type ReportedColdness} from './reported-coldness.js';
import {type ReportedLimit} from './reported-limit.js';

const maxAsked = 8;
const callTimeoutMs = 250;
/** The store may be slow: a host does not wait for it for longer. */
const maxLearningMs = 600;

/** Dependencies of the learner. */
type StatementLearnerOptions = {
	/** Returns the other hosts that are registered, from the store. */
	readonly listHosts: () => Promise<readonly KnownHost[]>;
	readonly call: PeerRpc;
	readonly record: (host: string, statements: readonly ReportedLimit[], cold: readonly ReportedColdness[]) => void;
	/** Called once, when all that were asked have answered or had time to. */
	readonly onLearned: () => void;
	readonly random: () => number;
};

/** Learns what upstreams say of themselves from hosts that know it. */
type StatementLearner = {
	/** Asks other hosts, the first time that it is called. */
	readonly start: () => void;
	/** Returns whether all that were asked have answered or had time to. */
	readonly hasLearned: () => boolean;
};

/**
Creates the learner of a host that starts. Fault pattern: upstreams that fall over or count each request, and a host that has not heard so yet;
the next report of the others may come too late.
*/
export function createStatementLearner({listHosts, call, record, onLearned, random}: StatementLearnerOptions): StatementLearner {
	let hasStarted = false;
	let hasLearned = false;

	const ask = async ({host, peers}: KnownHost): Promise<void> => {
		try {
			const {statements, cold = []} = await call(peers, 'gateway.statements', {}, {timeoutMs: callTimeoutMs});
			record(host, statements, cold);
		} catch (error) {
			logFailure(error, {peer: host}, 'host does not say what upstreams state', 'info');
		}
	};

	const learn = async (): Promise<void> => {
		try {
			const hosts = await listHosts();
			const asked = hosts.map(host => ({host, draw: random()})).toSorted((a, b) => a.draw - b.draw).slice(0, maxAsked);
			await Promise.all(asked.map(async ({host}) => ask(host)));
		} catch (error) {
			logFailure(error, {}, 'hosts to ask what upstreams state could not be listed');
		}
	};

	return {
		start() {
			if (!hasStarted) {
				hasStarted = true;
				void Promise.race([learn(), sleep(maxLearningMs)]).then(() => {
					hasLearned = true;
					onLearned();
				});
			}
		},
		hasLearned: () => hasLearned,
	};
}
