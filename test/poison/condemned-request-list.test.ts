import {expect, test} from 'vitest';
import {type CondemnedRequest} from '../../src/decide/poison/condemned-request.js';
import {createCondemnedRequestList} from '../../src/poison/create-condemned-request-list.js';
import {type StoredObject} from '../../src/object-store/stored-object.js';
import {waitUntil} from '../support/wait-until.js';

const laterMs = 60_000;

/** Starts a list whose store holds `stored`, and runs `disrupt` before each of the first writes. */
function startList(stored: readonly CondemnedRequest[], disrupt: ReadonlyArray<(write: (requests: readonly CondemnedRequest[]) => void) => void>) {
	let object: StoredObject = {
		name: 'requests', epoch: 0, revision: 1, value: {requests: stored},
	};
	let writes = 0;
	const write = (requests: readonly CondemnedRequest[]): void => {
		object = {...object, revision: object.revision + 1, value: {requests}};
	};

	const list = createCondemnedRequestList({
		kind: 'condemned',
		random: () => 0,
		onChange: () => undefined,
		onCleared: () => undefined,
		store: {
			read: async () => object,
			create: async () => undefined,
			async replace(_kind, _name, value, {revision}) {
				disrupt[writes++]?.(write);
				if (revision !== object.revision) {
					return undefined;
				}

				write((value as {readonly requests: readonly CondemnedRequest[]}).requests);
				return object;
			},
		},
	});
	list.applyObjects([object], undefined, object.epoch);
	return {
		list,
		returnFromCopy(requests: readonly CondemnedRequest[] | undefined) {
			object = {
				name: 'requests', epoch: object.epoch + 1, revision: 1, value: {requests: requests ?? []},
			};
			list.applyObjects(requests ? [object] : [], undefined, object.epoch);
		},
		digests: () => (object.value as {readonly requests: readonly CondemnedRequest[]}).requests.map(({digest}) => digest).toSorted(),
	};
}

test.each([
	['keeps those that are listed', [{digest: 'known', until: Date.now() + laterMs}], [], ['known', 'new']],
	['drops those whose refusal has ended', [{digest: 'ended', until: 1}], [], ['new']],
	['lists a request again whose refusal had ended', [{digest: 'new', until: 1}], [], ['new']],
	['is written again after another host wrote it', [], [(write: (requests: readonly CondemnedRequest[]) => void) => {
		write([{digest: 'of another host', until: Date.now() + laterMs}]);
	}], ['new', 'of another host']],
	['is written again after the store failed', [], [() => {
		throw new Error('no response');
	}], ['new']],
])('the list of condemned requests %s', async (_, stored, disrupt, expected) => {
	const {list, digests} = startList(stored, disrupt);
	list.add('new', 0);
	await waitUntil('the request to be listed', () => !list.isUnlisted('new'));
	expect(digests()).toEqual(expected);
});

test.each([
	['that lacks the list', undefined],
	['with an older list', [{digest: 'first', until: Date.now() + laterMs}]],
])('requests that the store lost when it came back from an older copy %s are listed again until their refusal ends', async (_, copied) => {
	const until = Date.now() + laterMs;
	const {list, digests, returnFromCopy} = startList([{digest: 'first', until}, {digest: 'second', until}, {digest: 'ended', until: 1}], []);
	returnFromCopy(copied);
	expect(list.isUnlisted('second')).toBe(true);
	await waitUntil('the requests to be listed', () => !list.isUnlisted('second'));
	expect(digests()).toEqual(['first', 'second']);
});
