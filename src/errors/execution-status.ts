/**
Whether an upstream has run a refused request, as far as is known.
`no` only when it is certain that no upstream has run it: no part of it was sent, or every engine that received it responded with 409 or 503.
*/
export type ExecutionStatus = 'no' | 'yes' | 'unknown';
