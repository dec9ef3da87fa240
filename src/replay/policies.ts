import {type Policy} from './policy.js';

const base: Policy = {
	name: 'default', ranking: 'score', fetchMode: 'scored', fanout: 2, usesFairQueueing: true,
};

/** The policy of `serve`, named `default`, and the baselines that it is compared with. */
export const policies: readonly Policy[] = [
	base,
	{...base, name: 'fanout-1', fanout: 1},
	{...base, name: 'fanout-3', fanout: 3},
	{
		...base, name: 'random', ranking: 'random', fanout: 1,
	},
	{
		...base, name: 'least-reported', ranking: 'least-reported', fanout: 1,
	},
	{
		...base, name: 'two-choices', ranking: 'two-choices', fanout: 1,
	},
	{
		...base, name: 'prefix-only', ranking: 'prefix', fanout: 1,
	},
	{...base, name: 'recompute-always', fetchMode: 'never'},
	{...base, name: 'fetch-always', fetchMode: 'always'},
	{...base, name: 'fifo', usesFairQueueing: false},
];
