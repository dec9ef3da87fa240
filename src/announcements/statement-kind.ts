/**
What the number states that an upstream sends: `limit`, requests a second that it takes from all hosts together; `brittle`, requests a second that
it can turn away for want of room without falling over; `leaving`, none that it takes from now on.
*/
export type StatementKind = 'limit' | 'brittle' | 'leaving';
