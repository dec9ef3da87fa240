/** Why a request ends without an upstream's response. */
export type FailureReason = 'no-upstream' | 'overloaded' | 'time-over' | 'upstream-failed';
