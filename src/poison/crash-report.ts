import {type CrashedRequest} from '../decide/poison/crashed-request.js';

/**
A crash of an upstream as hosts report it to each other: digest of the request, id of the upstream, its start in Unix milliseconds (0 when
that is unknown; an upstream may start again under its id), and, in the first reports, what else is compared of the request.
*/
export type CrashReport = readonly [string, string, number, Pick<CrashedRequest, 'workspace' | 'parts'>?];
