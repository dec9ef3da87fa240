/**
What an upstream's answer is good for: delivered unchanged, proof that the request was not run, a failure of the upstream
that ran it, or nothing that a caller may get.
*/
export type ResponseClass = 'deliver' | 'not-run' | 'failed' | 'unusable';
