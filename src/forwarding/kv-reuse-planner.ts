import {type Prompt} from './prompt.js';
import {type Service} from './service.js';
import {type Upstream} from './upstream.js';
import {type Workspace} from './workspace.js';
import {type KvReusePlan} from './kv-reuse-plan.js';

/** KV cache plans of one request. */
type KvReusePlans = {
	/** Whether this host recently sent a part of the prompt to the engine, so that it is likely to be cached there. */
	readonly isLikelyCachedAt: (upstream: Upstream) => boolean;
	/** Returns the plan of the prompt at an engine. */
	readonly at: (upstream: Upstream) => KvReusePlan;
};

/** Creates the KV cache plans of one request. */
export type KvReusePlanner = (prompt: Prompt, engine: NonNullable<Service['engine']>, workspace: Workspace | undefined, tokensPerMs: number) => KvReusePlans;
