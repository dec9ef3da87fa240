import {type createGatewayMetrics} from '../forwarding/create-gateway-metrics.js';
import {type KnownHost} from '../reports/known-host.js';
import {createEvacuations} from './create-evacuations.js';
import {createPeerConfirmation} from './create-peer-confirmation.js';
import {type Evacuations} from './evacuations.js';

/** What the evacuations of a host are connected to. */
type WiringOptions = Pick<Parameters<typeof createEvacuations>[0], 'kind' | 'listUpstreams' | 'onReturned' | 'now' | 'random'> & {
	/** Time that the deployment allows for an evacuation; `undefined` on deployments without evacuations. */
	readonly evacuateMs: number | undefined;
	/** Returns the hosts that are asked after a start. */
	readonly listReachable: () => readonly KnownHost[];
	readonly pull: (address: string) => Promise<void>;
	readonly metrics: Pick<ReturnType<typeof createGatewayMetrics>, 'evacuationRequests'>;
};

/** Creates the evacuations of a gateway host. `confirm` asks other hosts once they are known. */
export function wireEvacuations({evacuateMs, listReachable, pull, metrics, ...options}: WiringOptions): Evacuations & {readonly confirm: () => void} {
	const isEnabled = evacuateMs !== undefined;
	const confirmation = createPeerConfirmation({listHosts: listReachable, pull, random: options.random});
	return {
		...createEvacuations({
			...options,
			isEnabled,
			hasAskedPeers: confirmation.hasAsked,
			onRequest(result) {
				metrics.evacuationRequests.inc({result});
			},
		}),
		confirm() {
			if (isEnabled) {
				confirmation.start();
			}
		},
	};
}
