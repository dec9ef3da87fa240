import {type FairQueueItem} from './fair-queue-item.js';
import {type FairQueue} from './fair-queue.js';

/** Weighted service of one account, and whether something of it waits. */
type Account = {
	served: number;
	waiting: number;
};

function getAccount(accounts: Map<string, Account>, key: string): Account {
	const known = accounts.get(key);
	if (known) {
		return known;
	}

	const fresh = {served: 0, waiting: 0};
	accounts.set(key, fresh);
	return fresh;
}

/** Lifts a newly waiting account to the least served waiting one, so that idleness earns no credit. */
function lift(account: Account, others: readonly Account[], floor: number): void {
	const waiting = others.filter(other => other.waiting > 0).map(other => other.served);
	account.served = Math.max(account.served, waiting.length > 0 ? Math.min(...waiting) : floor);
}

/**
Creates a fair queue, after the virtual token counter (Sheng et al.: "Fairness in Serving Large Language Models", 2024),
on two levels: service, then workspace.
*/
export function createFairQueue<T extends FairQueueItem>(): FairQueue<T> {
	const services = new Map<string, Account>();
	const workspaces = new Map<string, Map<string, Account>>();
	const waiting = new Map<string, Map<string, T[]>>();
	const floors = new Map<string, number>();
	let size = 0;

	const workspacesOf = (service: string): Map<string, Account> => {
		const known = workspaces.get(service) ?? new Map<string, Account>();
		workspaces.set(service, known);
		return known;
	};

	const listOf = (item: FairQueueItem): T[] => {
		const byWorkspace = waiting.get(item.service) ?? new Map<string, T[]>();
		waiting.set(item.service, byWorkspace);
		const list = byWorkspace.get(item.workspace) ?? [];
		byWorkspace.set(item.workspace, list);
		return list;
	};

	const charge = (item: FairQueueItem, tokens: number): void => {
		getAccount(services, item.service).served += tokens / item.serviceWeight;
		getAccount(workspacesOf(item.service), item.workspace).served += tokens / item.workspaceWeight;
	};

	const leastServed = (accounts: Map<string, Account>): string | undefined => {
		let least: readonly [string, Account] | undefined;
		for (const entry of accounts) {
			if (entry[1].waiting > 0 && (!least || entry[1].served < least[1].served)) {
				least = entry;
			}
		}

		return least?.[0];
	};

	const countOff = (item: FairQueueItem): void => {
		getAccount(services, item.service).waiting--;
		getAccount(workspacesOf(item.service), item.workspace).waiting--;
		size--;
	};

	return {
		push(item) {
			const service = getAccount(services, item.service);
			const own = workspacesOf(item.service);
			const workspace = getAccount(own, item.workspace);
			if (service.waiting === 0) {
				lift(service, [...services.values()], floors.get('') ?? 0);
			}

			if (workspace.waiting === 0) {
				lift(workspace, [...own.values()], floors.get(item.service) ?? 0);
			}

			service.waiting++;
			workspace.waiting++;
			size++;
			listOf(item).push(item);
		},
		pop() {
			const service = leastServed(services);
			const workspace = service === undefined ? undefined : leastServed(workspacesOf(service));
			const item = workspace === undefined ? undefined : waiting.get(service!)?.get(workspace)?.shift();
			if (!item) {
				return undefined;
			}

			floors.set('', services.get(item.service)!.served);
			floors.set(item.service, workspacesOf(item.service).get(item.workspace)!.served);
			countOff(item);
			charge(item, item.cost);
			return item;
		},
		remove(id) {
			for (const byWorkspace of waiting.values()) {
				for (const list of byWorkspace.values()) {
					const at = list.findIndex(item => item.id === id);
					if (at !== -1) {
						const [item] = list.splice(at, 1);
						countOff(item!);
						return item;
					}
				}
			}

			return undefined;
		},
		settle(item, tokens) {
			charge(item, tokens - item.cost);
		},
		items: () => [...waiting.values()].flatMap(byWorkspace => [...byWorkspace.values()].flat()),
		size: () => size,
		served() {
			const pairs = [...workspaces].flatMap(([service, accounts]) =>
				[...accounts].map(([workspace, account]) => [`${service}/${workspace}`, account.served] as const));
			return Object.fromEntries(pairs);
		},
	};
}
