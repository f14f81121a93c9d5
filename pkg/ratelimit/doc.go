// Package ratelimit limits the rate of requests to an endpoint from all nodes together.
//
// It is pure: the limit, in requests per second, and the time are passed with each call.
// internal/throttle adds clocks, locks and messages between nodes.
package ratelimit
