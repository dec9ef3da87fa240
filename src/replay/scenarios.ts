/** Scenarios of generated traces. */
export const scenarios = ['steady', 'flood', 'slow-link', 'full-store', 'swap', 'engine-death', 'overload'] as const;
