import {type Prompt} from './prompt.js';
import {type Service} from './service.js';
import {type Upstream} from './upstream.js';
import {type Workspace} from './workspace.js';
import {type KvReusePlan} from './kv-reuse-plan.js';

/** The plans of one request. */
type KvReusePlans = {
	/** Whether this host has lately sent a part of the prompt to the engine. */
	readonly isLikelyCachedAt: (upstream: Upstream) => boolean;
	/** Plans the prompt at an engine. */
	readonly at: (upstream: Upstream) => KvReusePlan;
};

/** Prepares the plans of one request. */
export type KvReusePlanner = (prompt: Prompt, engine: NonNullable<Service['engine']>, workspace: Workspace | undefined, tokensPerMs: number) => KvReusePlans;
