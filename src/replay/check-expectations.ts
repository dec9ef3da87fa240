import {type z} from 'zod';
import {type expectationSchema} from './expectation-schema.js';
import {type RunResult} from './run-result.js';

type Expectation = z.infer<typeof expectationSchema>[number];

/** Returns the measure that an expectation refers to. For one service or workspace, every latency quantile is its p95. */
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

/** Returns one line of text for each expectation that the results do not meet. */
export function checkExpectations(expectations: readonly Expectation[], results: readonly RunResult[]): readonly string[] {
	return expectations.flatMap(expectation => {
		const {policy, measure, of, atMost, atLeast, notAbove} = expectation;
		const result = results.find(candidate => candidate.policy === policy);
		const reference = results.find(candidate => candidate.policy === notAbove);
		if (!result || (notAbove !== undefined && !reference)) {
			return [`no result for policy ${policy}${notAbove === undefined ? '' : ` or ${notAbove}`}, which this expectation needs`];
		}

		const value = readMeasure(result, expectation);
		const upperBound = Math.min(atMost ?? Number.POSITIVE_INFINITY, reference ? readMeasure(reference, expectation) : Number.POSITIVE_INFINITY);
		const isMet = value <= upperBound && value >= (atLeast ?? Number.NEGATIVE_INFINITY);
		return isMet ? [] : [`${policy} ${measure}${of === undefined ? '' : ` of ${of}`} is ${value}; expected ${atLeast === undefined ? `at most ${upperBound}` : `at least ${atLeast}`}`];
	});
}
