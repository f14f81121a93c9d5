// Package quarantine tells requests that end the endpoints that run them from those that
// merely ran there, and keeps the former from being sent on. Such a request is known as a
// poison request, or as a query of death.
//
// A request is known by its content, so that all tries of it count together, whoever takes
// them. Each node has a List of its own and tells the others what changes in it; what two
// nodes know is merged by union, so that order and repetition of the news do not matter.
//
// A request that has ended MaxCrashes endpoints without ever having been answered is not sent
// again. One that is answered elsewhere cannot be what ends endpoints: it is only there
// often, as a popular one is at every endpoint that ends of other causes.
//
// It is pure: it has no clock, goroutine or socket, and is not safe for concurrent use.
package quarantine
