package quarantine

// Unstored returns up to limit records with at least minCrashes that the platform's table lacks
// or has in part, and the fingerprints of rows that are obsolete since the request succeeded.
// The table preserves records when all nodes are killed.
func (l *List) Unstored(minCrashes, limit int) (write []Record, remove []Fingerprint) {
	for f, e := range l.records {
		incomplete := e.storedCrashes < min(len(e.Crashes), MaxCrashes) || e.TrialUsed && !e.storedTrialUsed
		switch {
		case e.hasRow && e.cleared():
			remove = append(remove, f)
		case len(write) < limit && !e.cleared() && len(e.Crashes) >= minCrashes && incomplete:
			write = append(write, e.clone())
		}
	}
	return write, remove
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
		e.hasRow, e.storedCrashes, e.storedTrialUsed = false, 0, false
	}
}

// MarkRemoved records that the table no longer has rows of these fingerprints.
func (l *List) MarkRemoved(fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		if e := l.records[f]; e != nil {
			e.hasRow, e.storedCrashes, e.storedTrialUsed = false, 0, false
		}
	}
}
