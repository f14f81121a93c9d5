package table

// The store may come back from a copy some seconds old. What it had acknowledged since is gone,
// and its version numbers are given out again: they compare within one era of the store only,
// which it names with each answer. A version here has both, the era first, so that versions
// compare as they are, wherever they are kept or told.

// eraShift is the number of bits of a version's number. With some thousand writes a second
// they last for thirty years.
const eraShift = 40

// MaxEra is the highest era that a version can have.
const MaxEra = 1<<(64-eraShift) - 1

// VersionInEra returns the version with a number in an era.
func VersionInEra(era, number uint64) uint64 { return era<<eraShift | number }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> eraShift }

// VersionNumber returns the number of a version within its era; zero is before all writes.
func VersionNumber(version uint64) uint64 { return version & (1<<eraShift - 1) }
