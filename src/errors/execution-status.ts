/**
Whether an upstream has run a refused request, as far as is known.
`no` only when no part of the request was sent to any upstream.
*/
export type ExecutionStatus = 'no' | 'yes' | 'unknown';
