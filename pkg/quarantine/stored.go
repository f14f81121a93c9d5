package quarantine

import "slices"

// Unstored returns up to limit records with at least minCrashes that the platform's table lacks
// or has in part, and the fingerprints of rows that are obsolete since the request succeeded.
// The table preserves records when all nodes are killed. Rows have neither times nor successes, so
// the records have only the crashes that count: all those of a rack would block a popular request.
func (l *List) Unstored(minCrashes, limit int) (write []Record, remove []Fingerprint) {
	for f, e := range l.records {
		counted := e.countedCrashes()
		incomplete := e.storedCrashes < min(len(counted), MaxCrashes) || e.TrialUsed && !e.storedTrialUsed
		switch {
		case e.hasRow && e.cleared():
			remove = append(remove, f)
		case len(write) < limit && !e.cleared() && len(counted) >= minCrashes && incomplete:
			record := e.clone()
			record.Crashes = slices.Clone(counted)
			write = append(write, record)
		}
	}
	return write, remove
}

func (e *entry) markUnstored() {
	e.hasRow, e.storedCrashes, e.storedTrialUsed = false, 0, false
}

// MarkStored records that the table has these records.
func (l *List) MarkStored(records []Record) {
	for _, r := range records {
		if e := l.records[r.Fingerprint]; e != nil {
			e.hasRow = true
			e.storedCrashes = max(e.storedCrashes, len(r.Crashes))
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
