/** Why an engine's owner does not grant. */
export type GrantRefusalReason = 'queue-full' | 'deadline' | 'leaving' | 'withdrawn' | 'not-owner';
