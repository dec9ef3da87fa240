import {computeSha256} from '../util/compute-sha256.js';

/** Bearer key of the demo's workspace. */
const demoKey = 'demo-key';

/** URLs of the demo's upstreams. */
type DemoUrls = {
	readonly engines: readonly string[];
	readonly store: string;
	readonly service: string;
};

/** Returns the texts of the demo's service files. */
export function createDemoServiceTexts({engines, store, service}: DemoUrls): readonly string[] {
	const workspaces = [{name: 'demo', keys: [computeSha256(demoKey)]}];
	const chat = {
		service: 'assistant',
		kind: 'model',
		pool: 'assistant-engines',
		models: [{name: 'small', version: 'v1'}],
		workspaces,
		upstreams: engines.map((url, index) => ({
			name: `engine-${index + 1}`, domain: index % 2 === 0 ? 'east' : 'west', url, checksOrders: true,
		})),
		stores: [{
			name: 'store-1', domain: 'east', url: store, linkBytesPerS: 1e9,
		}],
	};
	const booking = {
		service: 'booking',
		kind: 'plain',
		workspaces,
		upstreams: [{name: 'booking-1', domain: 'east', url: service}],
		routes: [{path: '/slots', method: 'GET', repeatable: true}, {path: '/bookings', method: 'POST', repeatable: false}],
	};
	return [JSON.stringify(chat), JSON.stringify(booking)];
}
