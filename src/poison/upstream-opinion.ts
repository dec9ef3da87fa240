/** What hosts say of an upstream: it accepts connections, it does not, they can't tell since they are cut off, or no host responds. */
export type UpstreamOpinion = 'up' | 'down' | 'unsure' | 'nobody';
