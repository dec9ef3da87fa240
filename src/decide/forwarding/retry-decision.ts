/**
What follows a send:
- `send-again`: the request is sent again, to another upstream if there is one;
- `deliver-failure`: the caller gets the upstream's failure response;
- `close`: the request ends; a caller that has received no byte of a response gets a refusal.
*/
export type RetryDecision = 'send-again' | 'deliver-failure' | 'close';
