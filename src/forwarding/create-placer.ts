import {rankUpstreams} from '../decide/forwarding/rank-upstreams.js';
import {type CallerCall} from './caller-call.js';
import {type Placed} from './placed.js';
import {type UpstreamBook} from './upstream-book.js';

const costs = {
	tokensPerMs: 90, requestMs: 4, otherDomainMs: 3, failureMs: 400,
};
const mostUrgent = 0;
const leastUrgent = 9;

/** What the placer needs. */
type PlacerOptions = {
	readonly domain: string;
	readonly book: UpstreamBook;
	readonly now: () => number;
	readonly random: () => number;
};

/** Creates the function that chooses an upstream for a request and how the request is sent there. */
export function createPlacer({domain, book, now, random}: PlacerOptions) {
	return (call: CallerCall, service: string, tried: ReadonlySet<string>): Placed | undefined => {
		const {request, route, workspace} = call;
		const at = now();
		const views = book.views(service, at);
		const fresh = views.filter(view => !tried.has(view.upstream.id));
		const tokens = request.prompt?.promptTokens ?? 0;
		const [best] = rankUpstreams(fresh.length > 0 ? fresh : views, {
			domain, missingTokens: () => tokens, costs, random,
		});
		if (!best) {
			return undefined;
		}

		const priority = workspace?.priority ?? route.priority;
		const weightVersion = request.prompt && best.upstream.weights.get(request.prompt.model);
		return {
			upstream: best.upstream,
			missingTokens: tokens,
			inFlight: best.inFlight,
			reason: 'least expected wait',
			options: {
				upstreamId: best.upstream.id,
				workspace: workspace?.name,
				urgency: request.prompt ? Math.min(leastUrgent, Math.max(mostUrgent, priority)) : undefined,
				weightVersion,
				scope: weightVersion === undefined ? undefined : `v${weightVersion}${workspace?.isIsolated ? `-${workspace.name}` : ''}`,
				fetchFrom: [],
				fetchUntil: undefined,
				saveTo: [],
			},
		};
	};
}
