import {type Prompt} from './prompt.js';
import {type Service} from './service.js';
import {type Upstream} from './upstream.js';
import {type Workspace} from './workspace.js';
import {type ContextPlan} from './context-plan.js';

/** Prepares the plans of one request: the result plans its prompt at an engine. */
export type ContextPlanner = (prompt: Prompt, engine: NonNullable<Service['engine']>, workspace: Workspace | undefined, tokensPerMs: number) => (upstream: Upstream) => ContextPlan;
