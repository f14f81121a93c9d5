// Package soak holds the long randomised runs over the pure state machines.
//
// The runs drive membership, lease, placement and ledger together, as a
// daemon does, against a table and endpoints in memory, and bring about
// kills, freezes, cuts, lost answers, late and doubled orders. All of it
// lives in test files; see `make soak`.
package soak
