package table

// The store may be restored from an older copy. Later writes are then lost and their
// version numbers reused, so numbers compare only within one era, which the store names with each
// response. A version here has the era in its high bits, so that versions of different eras compare
// correctly.

// eraShift is the number of bits of a version's number: enough for thirty years of some thousand
// writes a second.
const eraShift = 40

// MaxEra is the highest era that fits in a version.
const MaxEra = 1<<(64-eraShift) - 1

// VersionInEra returns the version with the given number in an era.
func VersionInEra(era, number uint64) uint64 { return era<<eraShift | number }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> eraShift }

// VersionNumber returns the number of a version within its era; zero precedes all writes.
func VersionNumber(version uint64) uint64 { return version & (1<<eraShift - 1) }
