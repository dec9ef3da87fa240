import {type PartNews} from './part-news.js';

/** How far a store of kept context is known: which life of it, and where the next poll goes on from. */
export type PartPosition = Pick<PartNews, 'epoch' | 'next'>;
