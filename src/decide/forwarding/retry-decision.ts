/** What follows a send that gave the caller no answer. */
export type RetryDecision = 'send-again' | 'deliver-failure' | 'close';
