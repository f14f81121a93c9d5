package quarantine

import (
	"slices"
	"time"
)

// Incarnation identifies one incarnation of an endpoint.
type Incarnation uint64

// Crash is a crash of an endpoint while it ran a request.
type Crash struct {
	Incarnation Incarnation
	At          time.Time
}

// Record has the crashes and the last success of one fingerprint.
type Record struct {
	Fingerprint Fingerprint
	// Crashes are those of different incarnations since the request last succeeded, ordered
	// by time.
	Crashes []Crash
	// Served is when such a request last got a complete response; zero if never.
	Served time.Time
	// TrialUsed is set once such a request was sent as a trial.
	TrialUsed bool
	// Part is set for the record of a part of prompts.
	Part bool
}

const (
	// MaxCrashes is the number of crashes after which a request is quarantined. With two,
	// streams that were resumed at another endpoint beside the request that crashed theirs
	// would be quarantined with it.
	MaxCrashes = 3
	// maxCrashesKept bounds the size of a record.
	maxCrashesKept = 8
	// burstWindow is the time within which crashes count as one for a request that has
	// succeeded before: a rack or data centre that fails takes many endpoints down at once,
	// and a popular request runs on several of them.
	burstWindow = time.Second
)

// Blocked reports whether requests with this fingerprint may not be sent.
func (r *Record) Blocked() bool { return len(r.countedCrashes()) >= MaxCrashes }

// countedCrashes returns the crashes that count towards MaxCrashes: one of each burst if the request
// has succeeded before, else all.
func (r *Record) countedCrashes() []Crash {
	if r.Served.IsZero() {
		return r.Crashes
	}
	return r.burstStarts()
}

// BlockedAfterNextCrash reports whether one more crash now would block the record.
func (r *Record) BlockedAfterNextCrash(now time.Time) bool {
	next := r.clone()
	next.Crashes = append(next.Crashes, Crash{At: now})
	return next.Blocked()
}

// burstStarts returns the first crash of each burst.
func (r *Record) burstStarts() []Crash {
	var starts []Crash
	for _, crash := range r.Crashes {
		if len(starts) == 0 || crash.At.Sub(starts[len(starts)-1].At) >= burstWindow {
			starts = append(starts, crash)
		}
	}
	return starts
}

func (r *Record) bursts() int { return len(r.burstStarts()) }

// cleared reports whether the request succeeded after its last crash.
func (r *Record) cleared() bool { return len(r.Crashes) == 0 }

// lastCrash returns the time of the last crash, zero if there is none.
func (r *Record) lastCrash() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// addCrash adds a crash and reports whether it is new and after the last success. A full record
// keeps a crash of each burst: with the first burst alone, a request that has succeeded before would
// never be blocked by later ones.
func (r *Record) addCrash(crash Crash) bool {
	if !crash.At.After(r.Served) || r.hasCrash(crash.Incarnation) {
		return false
	}
	bursts := r.bursts()
	at, _ := slices.BinarySearchFunc(r.Crashes, crash, func(a, b Crash) int { return a.At.Compare(b.At) })
	crashes := r.Crashes
	r.Crashes = slices.Insert(slices.Clone(crashes), at, crash)
	if len(r.Crashes) <= maxCrashesKept {
		return true
	}
	if r.bursts() == bursts {
		r.Crashes = crashes
		return false
	}
	r.evictCrash()
	return !slices.Equal(r.Crashes, crashes)
}

// evictCrash drops the oldest crash whose burst has another one, or else the oldest.
func (r *Record) evictCrash() {
	bursts := r.bursts()
	for i := range r.Crashes {
		rest := Record{Crashes: slices.Delete(slices.Clone(r.Crashes), i, i+1)}
		if rest.bursts() == bursts {
			r.Crashes = rest.Crashes
			return
		}
	}
	r.Crashes = r.Crashes[1:]
}

// markServed records a success and drops the crashes before it.
func (r *Record) markServed(at time.Time) {
	r.Served = at
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool { return !crash.At.After(at) })
}

// ageTolerance is the largest difference in the time of a success that is not a change: times
// are sent as ages, and messages are delayed.
const ageTolerance = 500 * time.Millisecond

// merge adds another record of the same fingerprint, and reports whether that changed r.
func (r *Record) merge(other Record) bool {
	changed := false
	if other.Served.After(r.Served.Add(ageTolerance)) {
		r.markServed(other.Served)
		changed = true
	}
	for _, crash := range other.Crashes {
		changed = r.addCrash(crash) || changed
	}
	if other.TrialUsed && !r.TrialUsed {
		r.TrialUsed = true
		changed = true
	}
	if other.Part && !r.Part {
		r.Part = true
		changed = true
	}
	return changed
}

// clone returns a deep copy.
func (r *Record) clone() Record {
	out := *r
	out.Crashes = slices.Clone(r.Crashes)
	return out
}
