import {Roarr, type Logger} from 'roarr';

/** The structured log; each line is one JSON object on standard output. */
export const log: Logger = Roarr.child({application: 'hemlockpier'});
