import {defaultPaceSettings} from '../decide/pace/default-pace-settings.js';
import {type createGatewayMetrics} from '../forwarding/create-gateway-metrics.js';
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
	const paces = createUpstreamPaces({
		// Upstreams that state that they are cold have permits of their own; only the setting asks for a pace.
		settings: pace ?? defaultPaceSettings, isPaced: () => pace !== undefined, isCold: ({id}) => isCold(id), others, runningForMs, now, random,
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
