import {type ErrorStatus} from './error-status.js';
import {type ErrorKind} from './error-kind.js';

/** HTTP status of each error kind. */
export const errorStatuses: Readonly<Record<ErrorKind, ErrorStatus>> = {
	'bad-request': {status: 400, comeBack: false},
	unauthorized: {status: 401, comeBack: false},
	'not-allowed': {status: 403, comeBack: false},
	'unknown-model': {status: 404, comeBack: false},
	'unknown-service': {status: 404, comeBack: false},
	'unknown-route': {status: 404, comeBack: false},
	'method-not-allowed': {status: 405, comeBack: false},
	'too-large': {status: 413, comeBack: false},
	'header-too-large': {status: 431, comeBack: false},
	'slow-caller': {status: 408, comeBack: false},
	'key-required': {status: 400, comeBack: false},
	'key-reused': {status: 422, comeBack: false},
	'outcome-unknown': {status: 409, comeBack: false},
	overloaded: {status: 429, comeBack: true},
	deadline: {status: 503, comeBack: true},
	'no-upstream': {status: 503, comeBack: true},
	condemned: {status: 422, comeBack: true},
	'platform-unavailable': {status: 503, comeBack: true},
	'upstream-failed': {status: 502, comeBack: true},
	'timed-out': {status: 504, comeBack: false},
	'not-ready': {status: 503, comeBack: true},
	internal: {status: 500, comeBack: false},
};
