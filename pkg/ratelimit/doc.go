// Package ratelimit paces requests to an endpoint that limits how many it takes from all
// nodes together.
//
// Inputs are the limit in requests a second and the time now; outputs are whether a request
// may be sent, or how long until the next. There are no errors, clocks, locks or sockets:
// internal/throttle adds these.
package ratelimit
