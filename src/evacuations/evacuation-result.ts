/**
What became of a request because of an evacuation: sent elsewhere while upstreams of its service are out of service, taken back after it was
placed at one of them, or refused.
*/
export type EvacuationResult = 'elsewhere' | 'withdrawn' | 'refused';
