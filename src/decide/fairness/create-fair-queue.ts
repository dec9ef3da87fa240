import {type FairQueueItem} from './fair-queue-item.js';
import {type FairQueue} from './fair-queue.js';

/** Accounting of one service or of one workspace within a service. */
type Account = {
	/** Virtual token counter: tokens served, divided by the weight; raised when the account starts waiting after being idle. */
	served: number;
	/** Number of waiting items. */
	waiting: number;
};

function getAccount(accounts: Map<string, Account>, key: string): Account {
	const known = accounts.get(key);
	if (known) {
		return known;
	}

	const created = {served: 0, waiting: 0};
	accounts.set(key, created);
	return created;
}

/**
Raises `served` of an account that starts waiting to the lowest `served` among the waiting accounts, so that an idle account
earns no credit. When no other account waits, `floor` is the lower bound.
*/
function lift(account: Account, others: readonly Account[], floor: number): void {
	const waiting = others.filter(other => other.waiting > 0).map(other => other.served);
	account.served = Math.max(account.served, waiting.length > 0 ? Math.min(...waiting) : floor);
}

/**
Creates a fair queue, after the virtual token counter (Sheng et al.: "Fairness in Serving Large Language Models", 2024),
on two levels: first between services, then between the workspaces of a service.
*/
export function createFairQueue<T extends FairQueueItem>(): FairQueue<T> {
	const services = new Map<string, Account>();
	const workspaces = new Map<string, Map<string, Account>>();
	const queues = new Map<string, Map<string, T[]>>();
	/** `served` of the service popped last, under '', and of the workspace popped last in each service, under the service's name. */
	const floors = new Map<string, number>();
	let size = 0;

	const getWorkspaceAccounts = (service: string): Map<string, Account> => {
		const known = workspaces.get(service) ?? new Map<string, Account>();
		workspaces.set(service, known);
		return known;
	};

	const getQueue = (item: FairQueueItem): T[] => {
		const workspaceQueues = queues.get(item.service) ?? new Map<string, T[]>();
		queues.set(item.service, workspaceQueues);
		const queue = workspaceQueues.get(item.workspace) ?? [];
		workspaceQueues.set(item.workspace, queue);
		return queue;
	};

	const charge = (item: FairQueueItem, tokens: number): void => {
		getAccount(services, item.service).served += tokens / item.serviceWeight;
		getAccount(getWorkspaceAccounts(item.service), item.workspace).served += tokens / item.workspaceWeight;
	};

	const findLeastServed = (accounts: Map<string, Account>): string | undefined => {
		let least: readonly [string, Account] | undefined;
		for (const entry of accounts) {
			if (entry[1].waiting > 0 && (!least || entry[1].served < least[1].served)) {
				least = entry;
			}
		}

		return least?.[0];
	};

	const decrementCounts = (item: FairQueueItem): void => {
		getAccount(services, item.service).waiting--;
		getAccount(getWorkspaceAccounts(item.service), item.workspace).waiting--;
		size--;
	};

	return {
		push(item) {
			const service = getAccount(services, item.service);
			const workspaceAccounts = getWorkspaceAccounts(item.service);
			const workspace = getAccount(workspaceAccounts, item.workspace);
			if (service.waiting === 0) {
				lift(service, [...services.values()], floors.get('') ?? 0);
			}

			if (workspace.waiting === 0) {
				lift(workspace, [...workspaceAccounts.values()], floors.get(item.service) ?? 0);
			}

			service.waiting++;
			workspace.waiting++;
			size++;
			getQueue(item).push(item);
		},
		pop() {
			const service = findLeastServed(services);
			const workspace = service === undefined ? undefined : findLeastServed(getWorkspaceAccounts(service));
			const item = workspace === undefined ? undefined : queues.get(service!)?.get(workspace)?.shift();
			if (!item) {
				return undefined;
			}

			floors.set('', services.get(item.service)!.served);
			floors.set(item.service, getWorkspaceAccounts(item.service).get(item.workspace)!.served);
			decrementCounts(item);
			charge(item, item.cost);
			return item;
		},
		remove(id) {
			for (const workspaceQueues of queues.values()) {
				for (const queue of workspaceQueues.values()) {
					const index = queue.findIndex(item => item.id === id);
					if (index !== -1) {
						const [item] = queue.splice(index, 1);
						decrementCounts(item!);
						return item;
					}
				}
			}

			return undefined;
		},
		settle(item, tokens) {
			charge(item, tokens - item.cost);
		},
		items: () => [...queues.values()].flatMap(workspaceQueues => [...workspaceQueues.values()].flat()),
		size: () => size,
		served() {
			const pairs = [...workspaces].flatMap(([service, accounts]) =>
				[...accounts].map(([workspace, account]) => [`${service}/${workspace}`, account.served] as const));
			return Object.fromEntries(pairs);
		},
	};
}
