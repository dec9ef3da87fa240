/** Why a request ends without an upstream's answer. */
export type CloseReason = 'no-upstream' | 'overloaded' | 'time-over' | 'upstream-failed';
