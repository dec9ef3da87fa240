import {type Upstream} from '../forwarding/upstream.js';
import {type CrashCheckResult} from './crash-check-result.js';

/**
Checks whether an upstream has crashed that ended a request without a response.

@param isGivenUp - Whether this host ended the request: the caller disconnected, or the time was over.
*/
export type CrashChecker = (upstream: Upstream, isGivenUp: boolean) => Promise<CrashCheckResult>;
