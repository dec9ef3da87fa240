/** Life state of a host as its peers see it, in order of precedence at the same incarnation. */
export type HostState = 'alive' | 'leaving' | 'suspect' | 'dead' | 'left';
