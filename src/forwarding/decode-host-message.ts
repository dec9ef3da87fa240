import {decodeLoads} from './decode-loads.js';
import {type DomainSum} from './domain-sum.js';
import {type HostMessage} from './host-message.js';
import {type HostReport} from './host-report.js';
import {type LoadNews} from './load-news.js';
import {type WireLoad} from './wire-load.js';

type WithWireLoads<T extends LoadNews> = Omit<T, 'loads'> & {readonly loads: readonly WireLoad[]};

type WireMessage = Omit<HostMessage, 'report' | 'sums'> & {
	readonly report?: WithWireLoads<HostReport>;
	readonly sums?: ReadonlyArray<Omit<DomainSum, 'news'> & {readonly news: WithWireLoads<LoadNews>}>;
};

/**
Reads a message from a datagram.

@throws {SyntaxError} When it is not JSON.
*/
export function decodeHostMessage(bytes: Buffer): HostMessage {
	const {report, sums, ...rest} = JSON.parse(bytes.toString()) as WireMessage;
	return {
		...rest,
		report: report && {...report, loads: decodeLoads(report.loads)},
		sums: sums?.map(sum => ({...sum, news: {...sum.news, loads: decodeLoads(sum.news.loads)}})),
	};
}
