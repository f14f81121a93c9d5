// Package quarantine distinguishes requests that crash the endpoints that run them, known as
// poison requests or queries of death, from those that merely ran there, and blocks the former.
//
// Requests are identified by a fingerprint of their content, so that attempts through all nodes
// count together. Each node has a List and gossips its changes. Records are merged by union,
// which is commutative and idempotent.
//
// A request that has crashed MaxCrashes endpoints without ever having succeeded is blocked. One
// that succeeds elsewhere is not the cause: a popular request is in flight at every endpoint
// that crashes for other reasons.
//
// Requests that are not alike may share a part of their prompts that crashes endpoints. So parts have
// records too: a crash is charged to the least trusted part of each prompt to which the endpoint had just
// begun to respond, and the last part, which belongs to its request alone, is left out.
//
// The package has no clock, goroutines or I/O, and is not safe for concurrent use.
package quarantine
