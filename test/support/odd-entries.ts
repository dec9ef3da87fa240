import {platformObjects} from './platform-objects.js';

const deep = (levels: number): unknown => {
	let value: unknown = 'deepest';
	for (let level = 0; level < levels; level++) {
		value = level % 2 === 0 ? [value] : {inner: value};
	}

	return value;
};

/** Values that name nothing, as another writer may leave them in the store. */
const oddValues: Readonly<Record<string, unknown>> = {
	null: null, number: 5, text: 'odd', 'empty text': '', 'a list': [], 'an empty object': {}, 'a list of nulls': [null], 'very deep': deep(2000), 'a large number': 1e308,
};

const oddNumbers = [1e308, 2 ** 60, -1, 1.5, '7', null, {}, []];
const oddTexts = [5, null, {}, [], ''];
const oddAddresses = [...oddTexts, '127.0.0.1', '127.0.0.1:70000', '127.0.0.1:0', '999.1.1.1:80', '1.2.3:80', 'host:80', '127.0.0.1:1e3'];

/** Returns copies of an entry with one field at a value that it can't have. */
function vary(sound: Readonly<Record<string, unknown>>, fields: Readonly<Record<string, readonly unknown[]>>): Readonly<Record<string, unknown>> {
	const varied = Object.entries(fields).flatMap(([field, values]) => values.map((value, index) => [`${field} ${index}`, {...sound, [field]: value}] as const));
	return Object.fromEntries(varied);
}

const registration = {
	host: 'odd-host', domain: 'domain-a', peers: '127.0.0.1:9', reports: '127.0.0.1:9', linkMbps: 1000,
};
const lease = {
	holder: 'odd', run: 'odd', token: 3, isReleased: false, renewals: 1, epoch: 0,
};

/** Odd entries by kind of objects, each with a name. */
export const oddEntries: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
	config: oddValues,
	servers: {
		...oddValues,
		...vary(platformObjects.upstream('127.0.0.1:9'), {
			service: oddTexts, address: oddAddresses, zone: [5, null, {}, []], slots: oddNumbers, state: [...oddTexts, 'odd'],
			models: [5, 'm', [null], [{name: 'm', version: 1e308}]], born: ['7', {}, 1.5, 1e308],
		}),
	},
	versions: {...oddValues, ...vary({model: 'odd', version: 1}, {model: [5, null, {}], version: ['7', null, 1.5, 1e308, {}]})},
	'hemlockpier-hosts': {
		...oddValues,
		...vary(registration, {
			host: oddTexts, domain: [5, null, {}], peers: oddAddresses, reports: oddAddresses, linkMbps: ['7', null, {}],
		}),
	},
	'hemlockpier-leases': {
		...oddValues,
		...vary(lease, {
			holder: oddTexts, token: oddNumbers, renewals: oddNumbers, isReleased: ['no', 5], epoch: ['x', {}],
		}),
	},
	'hemlockpier-streams': {
		...oddValues,
		...vary({at: 1, groups: []}, {at: ['x', null, 1e308], groups: [5, [null], [{service: 'app', version: 5, ids: 'x'}]]}),
	},
	'hemlockpier-condemned-requests': {
		...oddValues,
		...vary({requests: [], parts: []}, {requests: [5, [null], [{digest: 'd', until: 'x'}]], parts: [5, [null], [{parts: [], until: 1, upstreams: []}]]}),
	},
};

/** The one name under which hosts look for an object, by kind. */
export const knownNames: Readonly<Record<string, string>> = {
	'hemlockpier-leases': 'rollout', 'hemlockpier-streams': '.versions', 'hemlockpier-condemned-requests': 'requests',
};
