import {type z} from 'zod';
import {type expectationSchema} from './expectation-schema.js';
import {type RunResult} from './run-result.js';

type Expectation = z.infer<typeof expectationSchema>[number];

function readMeasure(result: RunResult, {measure, of}: Expectation): number {
	const summary = of === undefined ? undefined : result.services[of] ?? result.workspaces[of];
	switch (measure) {
		case 'p50':
		case 'p95':
		case 'p99': {
			return summary ? summary.p95 : result.firstToken[measure];
		}

		case 'refusedShare': {
			const {refused, requests} = summary ?? result;
			return refused / Math.max(1, requests);
		}

		case 'recomputedShare':
		case 'linkUse':
		case 'keptCost':
		case 'goodput': {
			return result[measure];
		}
	}
}

/** Compares results with stated outcomes; gives a line for each that is missed. */
export function checkExpectations(expectations: readonly Expectation[], results: readonly RunResult[]): readonly string[] {
	return expectations.flatMap(expectation => {
		const {policy, measure, of, atMost, atLeast, notAbove} = expectation;
		const result = results.find(candidate => candidate.policy === policy);
		const reference = results.find(candidate => candidate.policy === notAbove);
		if (!result || (notAbove !== undefined && !reference)) {
			return [`expected ${policy}${notAbove === undefined ? '' : ` and ${notAbove}`}, which did not run`];
		}

		const value = readMeasure(result, expectation);
		const upperBound = Math.min(atMost ?? Number.POSITIVE_INFINITY, reference ? readMeasure(reference, expectation) : Number.POSITIVE_INFINITY);
		const isMet = value <= upperBound && value >= (atLeast ?? Number.NEGATIVE_INFINITY);
		return isMet ? [] : [`${policy} ${measure}${of === undefined ? '' : ` of ${of}`} is ${value}; expected ${atLeast === undefined ? `at most ${upperBound}` : `at least ${atLeast}`}`];
	});
}
