/** State of a host as its peers see it. At the same incarnation, a later state of this list overrides an earlier one. */
export type HostState = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';
