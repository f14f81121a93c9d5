package quarantine

import (
	"slices"
	"time"
)

// Incarnation names one incarnation of an endpoint.
type Incarnation uint64

// End is the end of an endpoint while it ran a request.
type End struct {
	Incarnation Incarnation
	At          time.Time
}

// Record is what is known of the requests of one content.
type Record struct {
	Fingerprint Fingerprint
	// Ends are those of different incarnations since the request was last served, in the order
	// of their times.
	Ends []End
	// Served is when such a request was last answered whole; zero is never.
	Served time.Time
	// Tried is set once such a request was sent from quarantine to see whether it still
	// ends endpoints.
	Tried bool
}

const (
	// Limit is the number of endpoints that a request may end. Users allow three more
	// sends from three seconds after the third; with two, streams that go on at another
	// endpoint beside the request that ended theirs would be taken for it.
	Limit = 3
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
		return len(r.Ends) >= Limit
	}
	return r.waves() >= Limit
}

// BlockedByOneMore reports whether requests of the record are not to be sent once an endpoint
// has ended under one now.
func (r *Record) BlockedByOneMore(now time.Time) bool {
	next := r.clone()
	next.Ends = append(next.Ends, End{At: now})
	return next.Blocked()
}

// waves counts the ends, those of one wave as one.
func (r *Record) waves() int {
	waves := 0
	var wave time.Time
	for _, end := range r.Ends {
		if waves == 0 || end.At.Sub(wave) >= waveSpan {
			waves++
			wave = end.At
		}
	}
	return waves
}

// cleared reports whether the request was served after all of its ends.
func (r *Record) cleared() bool { return len(r.Ends) == 0 }

// lastEnd returns when an endpoint last ended, zero if none has.
func (r *Record) lastEnd() time.Time {
	if len(r.Ends) == 0 {
		return time.Time{}
	}
	return r.Ends[len(r.Ends)-1].At
}

// addEnd adds an end and reports whether it is a new one that counts.
func (r *Record) addEnd(end End) bool {
	known := func(other End) bool { return other.Incarnation == end.Incarnation }
	if len(r.Ends) >= maxEnds || !end.At.After(r.Served) || slices.ContainsFunc(r.Ends, known) {
		return false
	}
	at, _ := slices.BinarySearchFunc(r.Ends, end, func(a, b End) int { return a.At.Compare(b.At) })
	r.Ends = slices.Insert(r.Ends, at, end)
	return true
}

// serve notes when the request was served; ends before say nothing against it any more.
func (r *Record) serve(at time.Time) {
	r.Served = at
	r.Ends = slices.DeleteFunc(r.Ends, func(end End) bool { return !end.At.After(at) })
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
	for _, end := range other.Ends {
		news = r.addEnd(end) || news
	}
	if other.Tried && !r.Tried {
		r.Tried = true
		news = true
	}
	return news
}

// clone returns a copy that shares nothing.
func (r *Record) clone() Record {
	out := *r
	out.Ends = slices.Clone(r.Ends)
	return out
}
