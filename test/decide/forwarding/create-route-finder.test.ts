import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {chooseWeightedService} from '../../../src/decide/forwarding/choose-weighted-service.js';
import {createRouteFinder} from '../../../src/decide/forwarding/create-route-finder.js';
import {type Route} from '../../../src/forwarding/route.js';

const route = (name: string, host: string, pathPrefix: string): Route => ({
	name, host, pathPrefix, kind: 'idempotent', isResumable: false, timeoutMs: 1000, objectiveMs: 100, priority: 1,
	targets: [], maxAttempts: 1, allowsAnonymous: true,
});

describe('the route of a request', () => {
	const find = createRouteFinder([
		route('short', 'a.example', '/x/'),
		route('long', 'a.example', '/x/y/'),
		route('other', 'b.example', '/'),
		...Array.from({length: 350}, (_, index) => route(`more-${index}`, 'a.example', `/m${index}/`)),
	]);

	test.each([
		['a.example', '/x/z', 'short'],
		['A.EXAMPLE:8080', '/x/z', 'short'],
		['a.example', '/x/y/z', 'long'],
		['a.example', '/x/y', 'short'],
		['a.example', '/x', undefined],
		['a.example', '/m349/q', 'more-349'],
		['b.example', '/anything', 'other'],
		['c.example', '/x/z', undefined],
		['', '/x/z', undefined],
	])('of host "%s" and path %s is %s', (host, path, name) => {
		expect(find(host, path)?.name).toBe(name);
	});
});

describe('the service of a request', () => {
	test('is one with a weight above 0, if there is any', () => {
		const targets = fc.array(fc.record({service: fc.string({minLength: 1}), weight: fc.nat(100)}), {minLength: 1, maxLength: 5});
		fc.assert(fc.property(targets, fc.double({
			min: 0, max: 1, noNaN: true, maxExcluded: true,
		}), (list, draw) => {
			const service = chooseWeightedService(list, draw);
			const possible = list.filter(target => target.weight > 0).map(target => target.service);
			return service === undefined ? possible.length === 0 : possible.includes(service);
		}), {seed: 1});
	});

	test.each([
		[0, 'a'], [0.24, 'a'], [0.26, 'b'], [0.999, 'b'],
	])('with weights 1 and 3 and a draw of %d is %s', (draw, service) => {
		expect(chooseWeightedService([{service: 'a', weight: 1}, {service: 'b', weight: 3}], draw)).toBe(service);
	});
});
