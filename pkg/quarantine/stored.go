package quarantine

// Unstored returns up to limit records with at least minCrashes that the platform's table lacks
// or has in part, and the fingerprints of rows that are obsolete since the request succeeded.
// The table preserves records when all nodes are killed.
func (l *List) Unstored(minCrashes, limit int) (write []Record, remove []Fingerprint) {
	for f, e := range l.records {
		switch {
		case e.hasRow && e.cleared():
			remove = append(remove, f)
		case len(write) < limit && !e.cleared() && len(e.Crashes) >= minCrashes && e.isIncompletelyStored():
			write = append(write, e.clone())
		}
	}
	return write, remove
}

// isIncompletelyStored reports whether the table lacks what decides whether the record is blocked.
func (e *entry) isIncompletelyStored() bool {
	return e.storedCrashes < min(len(e.Crashes), MaxCrashes) ||
		e.storedBursts < min(e.bursts(), MaxCrashes) ||
		e.TrialUsed && !e.storedTrialUsed
}

func (e *entry) markUnstored() {
	e.hasRow, e.storedCrashes, e.storedBursts, e.storedTrialUsed = false, 0, 0, false
}

// MarkStored records that the table has these records.
func (l *List) MarkStored(records []Record) {
	for _, r := range records {
		if e := l.records[r.Fingerprint]; e != nil {
			e.hasRow = true
			e.storedCrashes = max(e.storedCrashes, len(r.Crashes))
			e.storedBursts = max(e.storedBursts, r.bursts())
			e.storedTrialUsed = e.storedTrialUsed || r.TrialUsed
		}
	}
}

// MarkAllUnstored records that the table may have lost all rows.
func (l *List) MarkAllUnstored() {
	for _, e := range l.records {
		e.markUnstored()
	}
}

// MarkRemoved records that the table no longer has rows of these fingerprints.
func (l *List) MarkRemoved(fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		if e := l.records[f]; e != nil {
			e.markUnstored()
		}
	}
}
