/** What follows a send that gave the caller no answer. */
export type NextStep = 'send-again' | 'deliver-failure' | 'close';
