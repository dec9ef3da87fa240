/**
How an upstream's response is used:
- `deliver`: it goes to the caller unchanged;
- `not-run`: it says that the request was not run;
- `failed`: it is the failure of an upstream that ran the request;
- `unusable`: it must not reach a caller.
*/
export type ResponseClass = 'deliver' | 'not-run' | 'failed' | 'unusable';
