/** Share of lower-priority prompt tokens that still run ahead of a request, since engines don't interrupt a prefill chunk in progress. */
export const lowerPriorityShare = 0.25;
