/** Phases of a weight update: until this host has the lease, until the engine accepts the order, and until it has the weights. */
export type UpdatePhase = 'lease' | 'order' | 'load';
