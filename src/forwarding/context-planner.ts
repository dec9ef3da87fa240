import {type Prompt} from './prompt.js';
import {type Service} from './service.js';
import {type Upstream} from './upstream.js';
import {type Workspace} from './workspace.js';
import {type ContextPlan} from './context-plan.js';

/** The plans of one request. */
type ContextPlans = {
	/** Whether this host has lately sent a part of the prompt to the engine. */
	readonly isKnownTo: (upstream: Upstream) => boolean;
	/** Plans the prompt at an engine. */
	readonly at: (upstream: Upstream) => ContextPlan;
};

/** Prepares the plans of one request. */
export type ContextPlanner = (prompt: Prompt, engine: NonNullable<Service['engine']>, workspace: Workspace | undefined, tokensPerMs: number) => ContextPlans;
