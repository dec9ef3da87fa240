/** Scenarios of generated traces. `swap` switches the services to another weight version. */
export const scenarios = ['steady', 'flood', 'slow-link', 'full-store', 'swap', 'engine-death', 'overload'] as const;
