/**
What is known about whether a refused request was run at an upstream.
`no` is said only when nothing of the request was sent to any upstream.
*/
export type ExecutionStatus = 'no' | 'yes' | 'unknown';
