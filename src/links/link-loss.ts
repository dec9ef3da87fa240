/**
How the link to an upstream was lost: `refused`, new connections fail at once and open ones may live on; `silent`, nothing passes.
*/
export type LinkLoss = 'refused' | 'silent';
