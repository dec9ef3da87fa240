import {isAddress} from '../http/is-address.js';

type Fields = Readonly<Record<string, unknown>>;
type Check = (value: unknown) => boolean;

const isString: Check = value => typeof value === 'string';
const isText: Check = value => typeof value === 'string' && value !== '';
const isNumber: Check = value => Number.isFinite(value);
const isWhole: Check = value => Number.isSafeInteger(value);
const isCount: Check = value => Number.isSafeInteger(value) && (value as number) >= 0;
const isFlag: Check = value => typeof value === 'boolean';
const isObject: Check = value => typeof value === 'object' && value !== null && !Array.isArray(value);
const isListOf = (check: Check): Check => value => Array.isArray(value) && value.every(item => check(item));
const isOptional = (check: Check): Check => value => value === undefined || value === null || check(value);
const isDialable: Check = value => typeof value === 'string' && isAddress(value);

const isTuple = (...checks: readonly Check[]): Check => value => Array.isArray(value) && checks.every((check, index) => check(value[index]));

const findFault = (checks: Readonly<Record<string, Check>>, value: unknown): string | undefined =>
	isObject(value) ? Object.keys(checks).find(field => !checks[field]!((value as Fields)[field])) : 'object';
const isShaped = (checks: Readonly<Record<string, Check>>): Check => value => findFault(checks, value) === undefined;

const isNumbers: Check = value => isObject(value) && Object.values(value as Fields).every(item => isNumber(item));

const statusChecks = {
	host: isText, domain: isText, peers: isDialable, reports: isDialable, linkMbps: isNumber, everyMs: isNumber,
	isStoreLost: isOptional(isFlag), lostServices: isOptional(isListOf(isText)), unheard: isOptional(isListOf(isText)), countsAttempts: isOptional(isFlag), sharesKvByGroup: isOptional(isFlag), claimsPlaces: isOptional(isFlag), epoch: isOptional(isNumber),
	changes: isNumbers, contentVersions: isOptional(isNumbers), weightsAgeMs: isOptional(isNumber), upstreamsAgeMs: isOptional(isNumber),
	weightAges: isOptional(isListOf(isTuple(isText, isWhole, isOptional(isNumber)))),
};

const newsChecks = {
	loads: isListOf(value => isTuple(isString, isNumber, isNumber)(value) && (value as readonly unknown[]).slice(1).every(item => isNumber(item))),
	loading: isListOf(isTuple(isText, isText, isNumber)),
	weights: isListOf(isTuple(isText, isText, isNumber)),
	crashes: isListOf(isTuple(isText, isText, isNumber, isOptional(isShaped({parts: isListOf(isText)})))),
	clearedParts: isOptional(isListOf(isText)),
	condemnedParts: isOptional(isListOf(isShaped({parts: isListOf(isText), until: isNumber, upstreams: isListOf(isText)}))),
	limits: isOptional(isListOf(isShaped({
		id: isText, startedAt: isOptional(isNumber), perS: isOptional(isNumber), askedAgeMs: isNumber, answeredAgeMs: isNumber,
	}))),
	paces: isOptional(isListOf(isTuple(isText, isOptional(isNumber), isWhole, isNumber, isWhole, isWhole))),
	versions: isOptional(isListOf(isShaped({service: isText, version: isString, ageMs: isNumber}))),
};

const isClaim = isTuple(isCount, isText, isWhole, isCount, isCount);

const messageChecks: Readonly<Record<string, Check>> = {
	report: isOptional(isShaped({...statusChecks, ...newsChecks})),
	sums: isOptional(isListOf(isShaped({
		source: isShaped({host: isText, domain: isText, everyMs: isNumber}),
		news: isShaped(newsChecks),
		members: isListOf(isShaped({status: isShaped(statusChecks), ageMs: isNumber})),
	}))),
	claims: isOptional(isShaped({
		h: isText, m: isCount, c: isOptional(isListOf(isClaim)), n: isOptional(isListOf(isClaim)), a: isOptional(isListOf(isCount)), e: isOptional(isListOf(isCount)),
	})),
	quotes: isOptional(isShaped({h: isText, q: isListOf(isTuple(isCount, isCount, isCount, isCount, isCount, isCount))})),
	streams: isOptional(isListOf(isShaped({service: isText, version: isString, ids: isListOf(isText)}))),
	kept: isOptional(isListOf(isShaped({
		store: isText, peers: isDialable, since: isNumber,
		news: isOptional(isShaped({
			epoch: isNumber, next: isNumber, clockMs: isOptional(isNumber),
			events: isListOf(isShaped({scope: isText, part: isText, tokens: isNumber})),
		})),
	}))),
};

/**
Returns the part of a decoded datagram that a host of this or an earlier build would not send; `undefined` where it can be used. Fields that
are not known here are left to later builds. Written out, since a schema takes a cold host several times as long, twenty times a second.
*/
export function findMessageFault(message: unknown): string | undefined {
	return findFault(messageChecks, message);
}
