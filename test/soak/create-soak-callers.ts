import {Agent, get, request} from 'node:http';
import {parseAddress} from '../../src/http/parse-address.js';
import {sleep} from '../../src/util/sleep.js';
import {crashMarks} from './crash-marks.js';
import {type Call, type CallKind} from './soak-history.js';
import {type SoakHost} from './create-soak-host.js';

const readinessPollMs = 500;
const readinessTimeoutMs = 400;
/** Consecutive failed readiness polls after which the balancer removes a host. */
const maxFailedPolls = 2;
const deadlinesMs: Readonly<Record<CallKind, number>> = {
	read: 1400, book: 1400, ask: 4000, extra: 1400, crash: 1400, part: 4000, sound: 4000, resume: 4000,
};
/** Callers disconnect this long after their deadline. */
const abandonAfterDeadlineMs = 3000;
const disconnectShare = 0.03;
const connections = 8;
/** Requests that crash upstreams are sent in turn for this long, then others. */
const crashingRequestsMs = 14_000;
const crashingIntervalMs = 200;
const partIntervalMs = 150;
/** Share of these intervals in which a request with a crashing part is sent. */
const crashingPartShare = 0.3;
const crashingTargets = [`/ask/${crashMarks.late}`, `/book/${crashMarks.early}`, `/book/${crashMarks.late}`] as const;

const maxResumptions = 2;
/** Id of the last complete event of a stream. */
const lastEvent = /^id: (\d+)\ndata: .*\n\n(?![\s\S]*^id: \d+\ndata: .*\n\n)/mv;

/** What a request holds; `prompt` lists the parts that other requests share. */
type RequestContent = Pick<Call, 'target' | 'body' | 'key'> & {readonly prompt?: readonly string[]; readonly resumed?: Call['resumed']; readonly resumptions?: number};

/** Callers that send requests to the hosts that report readiness. */
type SoakCallers = {
	readonly countReadyHosts: () => number;
	/** Stops sending requests that crash upstreams. */
	readonly stopCrashing: () => void;
	/** Stops sending new requests. */
	readonly pause: () => void;
	readonly stop: () => void;
};

/** Starts callers that send `perSecond` requests per second in total over persistent connections. */
export function createSoakCallers(hosts: readonly SoakHost[], perSecond: number, random: () => number, onCall: (call: Call) => void): SoakCallers {
	const agents = new Map(hosts.map(host => [host.name, new Agent({keepAlive: true, maxSockets: connections})]));
	const failedPolls = new Map(hosts.map(host => [host.name, maxFailedPolls]));
	let hasStopped = false;
	let isPaused = false;
	let isCrashing = true;
	let sent = 0;

	const checkReadiness = async (host: SoakHost): Promise<boolean> => new Promise(resolve => {
		const {host: ip, port} = parseAddress(host.readiness);
		const req = get({
			host: ip, port, path: '/v1/readiness', timeout: readinessTimeoutMs, agent: false,
		}, res => {
			res.resume();
			resolve(res.statusCode === 200);
		});
		req.on('timeout', () => req.destroy()).on('error', () => {
			resolve(false);
		});
	});

	const pollReadiness = async (host: SoakHost): Promise<void> => {
		while (!hasStopped) {
			failedPolls.set(host.name, await checkReadiness(host) ? 0 : failedPolls.get(host.name)! + 1);
			await sleep(readinessPollMs);
		}
	};

	const send = (host: SoakHost, kind: CallKind, createRequest: (id: string) => RequestContent): void => {
		const id = `soak-${sent++}`;
		const {target, body, key, prompt, resumed, resumptions = 0} = createRequest(id);
		const disconnectAfterMs = random() < disconnectShare ? random() * 100 : undefined;
		const {host: ip, port} = parseAddress(host.callers);
		const sentAt = performance.now();
		let status = 0;
		let seal: string | undefined;
		let text = '';
		let hasEnded = false;
		const end = (isWhole: boolean, hasLeft = false): void => {
			if (!hasEnded) {
				hasEnded = true;
				clearTimeout(timer);
				onCall({
					id, kind, target, body, key, host: host.name, sentAt, endedAt: performance.now(), status, seal, text, isWhole, hasLeft, resumed,
				});
				const after = lastEvent.exec(text)?.[1];
				if (status === 200 && !isWhole && !hasLeft && after !== undefined && prompt === undefined && kind !== 'crash' && resumptions < maxResumptions) {
					sendToAny('resume', () => ({
						target, body, key, resumed: {begunBy: resumed?.begunBy ?? id, after: Number(after)}, resumptions: resumptions + 1,
					}));
				}
			}
		};

		const req = request({
			host: ip, port, path: target, method: body === '' ? 'GET' : 'POST', agent: agents.get(host.name)!,
			headers: {
				host: 'app.example', 'request-id': id, 'deadline-ms': deadlinesMs[kind], 'x-api-key': key, ...(body === '' ? {} : {'content-length': Buffer.byteLength(body)}),
				...(resumed && {'last-event-id': resumed.after, resumes: resumed.begunBy}),
				...(prompt && {model: 'other', 'token-count': '300,10', 'prompt-prefix': [...prompt, `own-${id}`].map(part => `${part}:100`).join(',')}),
			},
		}, res => {
			status = res.statusCode!;
			seal = res.headers['response-seal'] as string | undefined;
			res.on('data', chunk => {
				text += String(chunk);
			}).on('end', () => {
				end(res.complete);
			}).on('error', () => {
				end(false);
			});
		});
		req.on('error', () => {
			end(false);
		});
		const timer = setTimeout(() => {
			end(false, true);
			req.destroy();
		}, disconnectAfterMs ?? deadlinesMs[kind] + abandonAfterDeadlineMs);
		req.end(body);
	};

	const listReadyHosts = (): readonly SoakHost[] => hosts.filter(host => failedPolls.get(host.name)! < maxFailedPolls);

	const sendToAny = (kind: CallKind, createRequest: Parameters<typeof send>[2]): void => {
		const ready = listReadyHosts();
		if (ready.length > 0 && !isPaused) {
			send(ready[Math.floor(random() * ready.length)]!, kind, createRequest);
		}
	};

	const sendAtRate = async (): Promise<void> => {
		while (!hasStopped) {
			const kind = (['read', 'book', 'ask', 'extra'] as const)[Math.floor(random() * 4)]!;
			sendToAny(kind, id => ({
				target: `/${kind}/${id}`, key: random() < 0.5 ? 'key-1' : 'key-2', body: kind === 'read' || kind === 'extra' ? '' : `body of ${id}`,
			}));
			await sleep(1000 / perSecond);
		}
	};

	/** Requests with a part that crashes upstreams, no two alike, and sound ones that share all but that part. */
	const sendParts = async (): Promise<void> => {
		while (!hasStopped) {
			sendToAny('sound', id => ({
				target: `/ask/${id}`, key: 'key-1', body: `body of ${id}`, prompt: ['part-a', 'part-b'],
			}));
			if (isCrashing && random() < crashingPartShare) {
				sendToAny('part', id => ({
					target: `/ask/${id}`, key: 'key-1', body: `body of ${id}`, prompt: ['part-a', crashMarks.part, 'part-b'],
				}));
			}

			await sleep(partIntervalMs);
		}
	};

	const sendCrashing = async (): Promise<void> => {
		const startedAt = performance.now();
		let turn = 0;
		while (isCrashing && !hasStopped) {
			const round = Math.floor((performance.now() - startedAt) / crashingRequestsMs);
			const target = `${crashingTargets[turn++ % crashingTargets.length]!}-${round}`;
			sendToAny('crash', () => ({target, key: 'key-1', body: 'same body'}));
			await sleep(crashingIntervalMs);
		}
	};

	for (const host of hosts) {
		void pollReadiness(host);
	}

	void sendAtRate();
	void sendCrashing();
	void sendParts();
	return {
		countReadyHosts: () => listReadyHosts().length,
		stopCrashing() {
			isCrashing = false;
		},
		pause() {
			isPaused = true;
		},
		stop() {
			hasStopped = true;
			for (const agent of agents.values()) {
				agent.destroy();
			}
		},
	};
}
