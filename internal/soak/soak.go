// Package soak contains randomised fault-injection tests of the pure state machines.
//
// They drive membership, lease, placement and ledger together, as a daemon does, against an
// in-memory table and endpoints with crashes, freezes, isolated nodes, lost responses, and
// delayed and duplicated orders. All code is in test files; see `make soak`.
package soak
