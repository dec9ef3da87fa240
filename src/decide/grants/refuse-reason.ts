/** Why an engine's owner does not grant. */
export type RefuseReason = 'queue-full' | 'deadline' | 'leaving' | 'withdrawn' | 'not-owner';
