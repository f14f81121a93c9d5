package quarantine

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Subject is what a request may be blamed for.
type Subject struct {
	// Content is the fingerprint of the whole request; all its attempts share it.
	Content Fingerprint
	// Parts are those of its prompt that other requests may have too.
	Parts []Fingerprint
}

// PartProgressTime is how long an endpoint must have sent a response for a part of its prompt to count as
// good: one that crashes endpoints does so as they begin to respond.
const PartProgressTime = time.Second

// InterruptedAfter returns what an attempt may be blamed for that was interrupted after its endpoint had
// sent a response for some time.
func (s Subject) InterruptedAfter(progress time.Duration) Subject {
	if progress >= PartProgressTime {
		return Subject{Content: s.Content}
	}
	return s
}

// Fingerprints returns those of the parts, and then that of the content.
func (s Subject) Fingerprints() []Fingerprint {
	return append(slices.Clone(s.Parts), s.Content)
}

// PartFingerprint returns the fingerprint of a part of the prompts for a service.
func PartFingerprint(service, part string) Fingerprint {
	return FingerprintOf([]byte("prompt part"), []byte(service), []byte(part))
}

// leastTrusted returns the parts whose last success is the oldest, those without one before all others.
// A part that crashes endpoints stops succeeding, while the parts that requests share with sound ones go
// on doing so.
func (l *List) leastTrusted(parts []Fingerprint, now time.Time) []Fingerprint {
	var out []Fingerprint
	var oldest time.Time
	for _, part := range parts {
		served := l.partServed(part, now)
		switch {
		case len(out) == 0 || served.Before(oldest):
			out, oldest = []Fingerprint{part}, served
		case served.Equal(oldest):
			out = append(out, part)
		}
	}
	return out
}

// partServed returns when a part last succeeded, or the zero time.
func (l *List) partServed(part Fingerprint, now time.Time) time.Time {
	served := l.parts.lastServed(part, now)
	if e := l.records[part]; e != nil && e.Served.After(served) {
		return e.Served
	}
	return served
}

// RecordPartCrash records that an incarnation crashed as it began to respond to a prompt with these parts.
// Only the least trusted ones are blamed. It returns those whose records changed.
func (l *List) RecordPartCrash(parts []Fingerprint, incarnation Incarnation, now time.Time) []Fingerprint {
	var changed []Fingerprint
	for _, part := range l.leastTrusted(parts, now) {
		e := l.entry(part, now)
		e.Part = true
		if e.addCrash(Crash{incarnation, now}) {
			l.touch(e, now)
			changed = append(changed, part)
		}
	}
	return changed
}

// RecordPartSuccess records that an endpoint has responded to a prompt with these parts and goes on.
func (l *List) RecordPartSuccess(parts []Fingerprint, now time.Time) {
	for _, part := range parts {
		l.parts.get(part).served = now
		if e := l.records[part]; e != nil {
			l.markServed(e, now)
		}
	}
}

// RecordSent records that a prompt with these parts is sent to an endpoint.
func (l *List) RecordSent(parts []Fingerprint) {
	for _, part := range parts {
		l.parts.get(part).sent++
	}
}

// blocks reports whether requests with a record's fingerprint may not be sent: it has crashed too many
// endpoints, and no part that had a request at each of them explains it better. Whatever merely ran beside
// a part that crashes endpoints, or always appears together with it, would be blocked with it otherwise.
func (l *List) blocks(e *entry) bool {
	if !e.Blocked() {
		return false
	}
	unexplained := e.countedCrashes()
	for _, other := range l.records {
		if other != e && other.Part && other.Blocked() && l.explains(other, e) {
			unexplained = other.unexplained(unexplained)
		}
	}
	return len(unexplained) >= MaxCrashes
}

// maxTiedCrashes is the number of crashes from which parts are blocked although they can't be told apart. Until
// then none of them is: one more crash, or one sound response, tells most of them apart.
const maxTiedCrashes = MaxCrashes + 2

// explains reports whether a part is a better explanation of crashes than another record, or as good a one
// while too few crashes are known to tell them apart.
func (l *List) explains(part, other *entry) bool {
	if !other.Part {
		return true
	}
	order := l.compareExplanations(part, other)
	return order < 0 || order == 0 && len(part.Crashes) < maxTiedCrashes
}

// compareExplanations orders parts by how well they explain crashes, the better one first: the one with
// clearly fewer attempts for each crash, since parts that most prompts have seldom crash an endpoint, or else
// the one with more crashes.
func (l *List) compareExplanations(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(l.attemptsPerCrash(a), l.attemptsPerCrash(b)),
		cmp.Compare(len(b.Crashes), len(a.Crashes)),
	)
}

// isTold reports whether a response to a request with some parts would tell a blocked part from one that explains
// the crashes as well: the request lacks such a part.
func (l *List) isTold(e *entry, parts []Fingerprint) bool {
	for _, other := range l.records {
		isTied := other != e && other.Part && other.Blocked() && l.compareExplanations(other, e) == 0
		if isTied && len(other.unexplained(e.countedCrashes())) < MaxCrashes && !slices.Contains(parts, other.Fingerprint) {
			return true
		}
	}
	return false
}

// TrialAllowed reports whether a request may be sent as a trial although a fingerprint of it is blocked: some time
// after the last crash, or at once if the response tells the blocked part from another.
func (l *List) TrialAllowed(f Fingerprint, s Subject, now time.Time) bool {
	e := l.records[f]
	if e == nil || e.TrialUsed {
		return false
	}
	return now.Sub(e.lastCrash()) >= TrialDelay || e.Part && l.isTold(e, s.Parts)
}

// attemptsPerCrash returns the order of magnitude, to the base of 4, of the attempts with a part for each
// of its crashes: attempts are those of this node alone, so that small differences mean nothing.
func (l *List) attemptsPerCrash(e *entry) int {
	return bits.Len(uint(l.parts.sent(e.Fingerprint)/max(1, len(e.Crashes)))) / 2
}

// unexplained returns the crashes at which a record had no request.
func (r *Record) unexplained(crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(crash Crash) bool { return r.hasCrash(crash.Incarnation) })
}

func (r *Record) hasCrash(incarnation Incarnation) bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.Incarnation == incarnation })
}
