import {decodeLoads} from './decode-loads.js';
import {decodePaces} from './decode-paces.js';
import {findMessageFault} from './find-message-fault.js';
import {type DomainReport} from './domain-report.js';
import {type HostMessage} from './host-message.js';
import {type HostReport} from './host-report.js';
import {type LoadReport} from './load-report.js';
import {type WireLoad} from './wire-load.js';
import {type WirePace} from './wire-pace.js';

type WithWireLoads<T extends LoadReport> = Omit<T, 'loads' | 'paces'> & {readonly loads: readonly WireLoad[]; readonly paces?: readonly WirePace[] | null};

const toPaces = (paces: readonly WirePace[] | null | undefined): LoadReport['paces'] => paces ? decodePaces(paces) : undefined;

type WireMessage = Omit<HostMessage, 'report' | 'sums'> & {
	readonly report?: WithWireLoads<HostReport>;
	readonly sums?: ReadonlyArray<Omit<DomainReport, 'news'> & {readonly news: WithWireLoads<LoadReport>}>;
};

/** What hosts of an earlier build don't state. */
const unstated = {epoch: 0, contentVersions: {}} as const;

/**
Decodes a datagram between hosts.

@throws {SyntaxError} When the datagram is not JSON.
@throws {TypeError} When a part of it has another shape than hosts send.
*/
export function decodeHostMessage(bytes: Buffer): HostMessage {
	const parsed: unknown = JSON.parse(bytes.toString());
	const fault = findMessageFault(parsed);
	if (fault !== undefined) {
		throw new TypeError(`malformed: ${fault}`);
	}

	const {report, sums, ...rest} = parsed as WireMessage;
	return {
		...rest,
		report: report && {
			...unstated, ...report, loads: decodeLoads(report.loads), paces: toPaces(report.paces),
		},
		sums: sums?.map(({news, members, ...sum}) => ({
			...sum,
			news: {...news, loads: decodeLoads(news.loads), paces: toPaces(news.paces)},
			members: members.map(member => ({...member, status: {...unstated, ...member.status}})),
		})),
	};
}
