package quarantine

import (
	"slices"
	"time"
)

// Incarnation names one incarnation of an endpoint.
type Incarnation uint64

// Crash is a crash of an endpoint while it ran a request.
type Crash struct {
	Incarnation Incarnation
	At          time.Time
}

// Record is what is known of the requests of one content.
type Record struct {
	Fingerprint Fingerprint
	// Crashes are those of different incarnations since the request last succeeded, ordered
	// by time.
	Crashes []Crash
	// Served is when such a request was last answered whole; zero is never.
	Served time.Time
	// TrialUsed is set once such a request was sent from quarantine to see whether it still
	// crashes endpoints.
	TrialUsed bool
}

const (
	// MaxCrashes is the number of crashes after which a request is quarantined. With two,
	// streams that were resumed at another endpoint beside the request that crashed theirs
	// would be quarantined with it.
	MaxCrashes = 3
	// maxEnds bounds the ends that are kept of one record: more tell nothing.
	maxEnds = 8
	// waveSpan is within what time ends count as one of a request that was served
	// before: a rack or a data centre that fails ends many endpoints at once, and a
	// popular request runs on several of them.
	waveSpan = time.Second
)

// Blocked reports whether requests of the record are not to be sent.
func (r *Record) Blocked() bool {
	if r.Served.IsZero() {
		return len(r.Crashes) >= MaxCrashes
	}
	return r.waves() >= MaxCrashes
}

// BlockedAfterNextCrash reports whether the record is blocked if an endpoint crashes under
// such a request now.
func (r *Record) BlockedAfterNextCrash(now time.Time) bool {
	next := r.clone()
	next.Crashes = append(next.Crashes, Crash{At: now})
	return next.Blocked()
}

// waves counts the ends, those of one wave as one.
func (r *Record) waves() int {
	waves := 0
	var wave time.Time
	for _, end := range r.Crashes {
		if waves == 0 || end.At.Sub(wave) >= waveSpan {
			waves++
			wave = end.At
		}
	}
	return waves
}

// cleared reports whether the request was served after all of its ends.
func (r *Record) cleared() bool { return len(r.Crashes) == 0 }

// lastEnd returns when an endpoint last ended, zero if none has.
func (r *Record) lastEnd() time.Time {
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// addEnd adds an end and reports whether it is a new one that counts.
func (r *Record) addEnd(end Crash) bool {
	known := func(other Crash) bool { return other.Incarnation == end.Incarnation }
	if len(r.Crashes) >= maxEnds || !end.At.After(r.Served) || slices.ContainsFunc(r.Crashes, known) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Crashes, end, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.Crashes = slices.Insert(r.Crashes, at, end)
	return true
}

// serve notes when the request was served; ends before say nothing against it any more.
func (r *Record) serve(at time.Time) {
	r.Served = at
	r.Crashes = slices.DeleteFunc(r.Crashes, func(end Crash) bool { return !end.At.After(at) })
}

// ageSlack is by how much the time of an answer may differ between nodes without being
// news: it is told as an age, and messages take a while.
const ageSlack = 500 * time.Millisecond

// merge adds what another record of the same content knows, and reports whether that is
// news.
func (r *Record) merge(other Record) bool {
	news := false
	if other.Served.After(r.Served.Add(ageSlack)) {
		r.serve(other.Served)
		news = true
	}
	for _, end := range other.Crashes {
		news = r.addEnd(end) || news
	}
	if other.TrialUsed && !r.TrialUsed {
		r.TrialUsed = true
		news = true
	}
	return news
}

// clone returns a copy that shares nothing.
func (r *Record) clone() Record {
	out := *r
	out.Crashes = slices.Clone(r.Crashes)
	return out
}
