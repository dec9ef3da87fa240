/**
By how much of the work that is not reported yet upstreams may differ and still be chosen between by chance: when the few are chosen at
which a prompt's context is looked at, and when one of those is chosen. The first is near an even choice, since many hosts choose at
once; of a few chosen evenly the best is nearly as good as the best of all would be if reports were fresh (Mitzenmacher, 2000).
*/
export const placementSpread = {shortlist: 16, final: 4} as const;
