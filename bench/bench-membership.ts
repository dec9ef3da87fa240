import {createGossipTable} from '../src/decide/membership/create-gossip-table.js';
import {createMembership} from '../src/decide/membership/create-membership.js';
import {type Member} from '../src/decide/membership/member.js';
import {rankOwners} from '../src/decide/membership/rank-owners.js';
import {createSeededRandom} from '../src/util/create-seeded-random.js';
import {measureCpu} from './measure-cpu.js';
import {measureHeap} from './measure-heap.js';
import {printLinearFit} from './print-linear-fit.js';

const sizes = [45, 90, 180, 360];
const domainSize = 16;
const heapTables = 40;

const createMember = (index: number): Member => ({
	name: `host-${index}`, domain: `domain-${Math.floor(index / domainSize)}`, region: 'region', incarnation: 1_700_000_000_000 + index, state: 'alive',
	peers: `10.20.${index % 250}.17:8081`, operators: `10.20.${index % 250}.17:8082`,
});

function createFilledMembership(count: number) {
	const gossip = createGossipTable();
	const membership = createMembership(createMember(0), gossip, 0, {random: createSeededRandom(1)});
	for (let index = 1; index < count; index++) {
		const {name, ...value} = createMember(index);
		membership.onEntries(`hosts/${value.domain}`, [{id: name, version: value.incarnation * 8, value}], 0);
	}

	return {gossip, membership};
}

/** Measures membership and gossip by number of hosts. */
export function benchMembership(): void {
	printLinearFit('membership tick, by hosts', 'us', sizes.map(count => {
		const {membership} = createFilledMembership(count);
		return [count, measureCpu(3000, index => membership.tick(index * 1000)).cpuUs] as const;
	}));
	printLinearFit('gossip digest of an unchanged table, by hosts', 'us', sizes.map(count => {
		const {gossip} = createFilledMembership(count);
		return [count, measureCpu(3000, index => gossip.digest(index)).cpuUs] as const;
	}));
	printLinearFit('merging one changed host, by hosts', 'us', sizes.map(count => {
		const {membership} = createFilledMembership(count);
		const {name, ...value} = createMember(3);
		return [count, measureCpu(1000, index => membership.onEntries(`hosts/${value.domain}`, [{id: name, version: (value.incarnation * 8) + index, value}], index)).cpuUs] as const;
	}));
	printLinearFit('size of an exchange of one differing failure domain, by hosts of the domain', 'bytes', [4, 8, 16, 32].map(count => {
		const entries = Array.from({length: count}, (_, index) => {
			const {name, ...value} = createMember(index);
			return {id: name, version: value.incarnation * 8, value};
		});
		return [count, JSON.stringify({sections: {'hosts/domain-0': entries}, want: ['hosts/domain-0']}).length] as const;
	}));
	printLinearFit('heap of the table, by hosts', 'bytes', sizes.map(count =>
		[count, measureHeap(() => Array.from({length: heapTables}, () => createFilledMembership(count))).bytes / heapTables] as const));
	printLinearFit('owner by rendezvous hashing, by hosts', 'us', [4, 16, 51, 360].map(count => {
		const names = Array.from({length: count}, (_, index) => `host-${index}`);
		return [count, measureCpu(1000, index => rankOwners(names, `key-${index}`)).cpuUs] as const;
	}));
}
