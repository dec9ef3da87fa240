import {type HostStatus} from './host-status.js';
import {type LoadNews} from './load-news.js';

/** What a host tells others several times a second, as a datagram. */
export type HostReport = HostStatus & LoadNews;
