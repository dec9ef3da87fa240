import {encodeLoads} from './encode-loads.js';
import {encodePaces} from './encode-paces.js';
import {type HostMessage} from './host-message.js';

/** Encodes a message as a datagram. */
export function encodeHostMessage({report, sums, ...rest}: HostMessage): Buffer {
	return Buffer.from(JSON.stringify({
		...rest,
		report: report && {...report, loads: encodeLoads(report.loads), paces: report.paces && encodePaces(report.paces)},
		sums: sums?.map(sum => ({...sum, news: {...sum.news, loads: encodeLoads(sum.news.loads), paces: sum.news.paces && encodePaces(sum.news.paces)}})),
	}));
}
