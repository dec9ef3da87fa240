/** Why a request ends without an upstream's answer. */
export type FailureReason = 'no-upstream' | 'overloaded' | 'time-over' | 'upstream-failed';
