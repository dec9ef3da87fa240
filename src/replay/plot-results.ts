import {compile, type TopLevelSpec} from 'vega-lite';
import {parse, View} from 'vega';
import {type RunResult} from './run-result.js';

const measures: ReadonlyArray<readonly [string, (result: RunResult) => number]> = [
	['first token p95, ms', result => result.firstToken.p95],
	['recomputed share', result => result.recomputedShare],
	['link use', result => result.linkUse],
	// Mean cost per served request.
	['kept cost', result => result.keptCost],
	['refused share', result => result.refused / Math.max(1, result.requests)],
];

/** Returns an SVG chart that compares the results of all policies. */
export async function plotResults(title: string, results: readonly RunResult[]): Promise<string> {
	const values = results.flatMap(result => measures.map(([measure, read]) => ({policy: result.policy, measure, value: read(result)})));
	const spec: TopLevelSpec = {
		title,
		data: {values},
		facet: {
			row: {
				field: 'measure', type: 'nominal', title: null, header: {labelAngle: 0, labelAlign: 'left'},
			},
		},
		resolve: {scale: {x: 'independent'}},
		spec: {
			width: 480,
			mark: 'bar',
			encoding: {
				y: {
					field: 'policy', type: 'nominal', sort: results.map(result => result.policy), title: null,
				},
				x: {field: 'value', type: 'quantitative', title: null},
			},
		},
	};
	const view = new View(parse(compile(spec).spec), {renderer: 'none'});
	return view.toSVG();
}
