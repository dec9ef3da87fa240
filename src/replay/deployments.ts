import {type Deployment} from './deployment.js';

const pieceTokens = 1000;
const pieceBytes = 64_000_000;

const createTenWorkspaces = (largeNames: readonly string[], smallNamePrefix: string) => [
	...largeNames.map((name, index) => ({name, weight: 4 - index})),
	...Array.from({length: 10 - largeNames.length}, (_, index) => ({name: `${smallNamePrefix}-${index + 1}`, weight: 1})),
];

/** The two existing deployments, with their real sizes. */
export const deployments: Readonly<Record<'cascade' | 'vaerkstedsnettet', Deployment>> = {
	cascade: {
		kind: 'deployment',
		name: 'cascade',
		hosts: 8,
		delayMs: 1.5,
		services: [{
			name: 'drafting', weight: 1, engines: 13, slots: 16, prefillTokensPerS: 6000, stepMs: 12, stepAddedMs: 0.5, cachePieces: 300,
			pieceTokens, pieceBytes, linkBytesPerS: 3e9, memoryPieces: 10_000, diskPieces: 30_000, deadlineMs: 10_000, queueLimit: 200,
			cost: {firstToken: 1, recomputed: 0.02, link: 0.01}, workspaces: createTenWorkspaces(['rainier', 'cedar', 'sound'], 'crew'),
		}],
	},
	vaerkstedsnettet: {
		kind: 'deployment',
		name: 'vaerkstedsnettet',
		hosts: 8,
		delayMs: 1.5,
		services: [{
			name: 'advice', weight: 1, engines: 6, slots: 8, prefillTokensPerS: 6000, stepMs: 12, stepAddedMs: 0.5, cachePieces: 300,
			pieceTokens, pieceBytes, linkBytesPerS: 4e8, memoryPieces: 4000, diskPieces: 12_000, deadlineMs: 30_000, queueLimit: 100,
			cost: {firstToken: 0.3, recomputed: 0.5, link: 0.3}, workspaces: createTenWorkspaces(['aarhus', 'aalborg', 'viborg'], 'vaerksted'),
		}],
	},
};
