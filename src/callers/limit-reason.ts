/**
Why a request was refused, or a connection closed: the body is over its limit, too slow, was given up for others, or got no room; the connection was not in use, or
all others were.
*/
export type LimitReason = 'body-too-large' | 'body-too-slow' | 'body-given-up' | 'no-room' | 'connection-not-in-use' | 'connections-in-use';
