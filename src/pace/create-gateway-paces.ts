import {defaultPaceSettings} from '../decide/pace/default-pace-settings.js';
import {type createGatewayMetrics} from '../forwarding/create-gateway-metrics.js';
import {type Upstream} from '../forwarding/upstream.js';
import {type GatewaySettings} from '../settings/gateway-settings.js';
import {createUpstreamPaces} from './create-upstream-paces.js';
import {type UpstreamPaces} from './upstream-paces.js';

/** Dependencies of the limits of a gateway host. */
type GatewayPacesOptions = {
	readonly settings: GatewaySettings;
	/** Returns whether an upstream is taken to be cold. */
	readonly isCold: (upstreamId: string) => boolean;
	readonly metrics: ReturnType<typeof createGatewayMetrics>;
	readonly others: () => {readonly count: number; readonly reportAgeMs: number};
	readonly runningForMs: () => number;
	readonly now: () => number;
	readonly random: () => number;
};

/** Creates the limits that follow upstreams' answers for a gateway host, with their metrics. */
export function createGatewayPaces({settings: {pace}, isCold, metrics, others, runningForMs, now, random}: GatewayPacesOptions): UpstreamPaces & {readonly recordGauges: () => void} {
	// The only place that decides which upstreams are paced. Those that state that they are cold have permits of their own.
	const isPaced = (_upstream: Upstream): boolean => pace !== undefined;
	const paces = createUpstreamPaces({
		settings: pace ?? defaultPaceSettings, isPaced, isCold: ({id}) => isCold(id), others, runningForMs, now, random,
		onSetback(service, cause) {
			metrics.paceSetbacksTotal.inc({service, cause});
		},
		onTurnedAway(service) {
			metrics.pacedElsewhereTotal.inc({service});
		},
	});
	return {
		...paces,
		recordGauges() {
			for (const [service, count] of paces.countLimited()) {
				metrics.limitedUpstreams.set({service}, count);
			}
		},
	};
}
