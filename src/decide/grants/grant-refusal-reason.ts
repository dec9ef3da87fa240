/** Why an engine's owner refuses a slot request. */
export type GrantRefusalReason = 'queue-full' | 'deadline' | 'leaving' | 'withdrawn' | 'not-owner';
