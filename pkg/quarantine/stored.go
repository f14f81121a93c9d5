package quarantine

// What has ended all but one of the endpoints that it may end is written to the platform's
// table: if all nodes are killed, fewer ends than those are forgotten at a time.

// Unstored returns at most a number of records with so many ends or more of which the table
// does not have all, and the contents of which it has a row that is not needed any more,
// since such requests were served.
func (l *List) Unstored(ends, most int) (write []Record, remove []Fingerprint) {
	for f, e := range l.records {
		lacks := e.stored < min(len(e.Crashes), MaxCrashes) || e.TrialUsed && !e.storedTried
		switch {
		case e.inTable && e.cleared():
			remove = append(remove, f)
		case len(write) < most && !e.cleared() && len(e.Crashes) >= ends && lacks:
			write = append(write, e.clone())
		}
	}
	return write, remove
}

// MarkStored records that the table has rows of these records as given.
func (l *List) MarkStored(records []Record) {
	for _, r := range records {
		if e := l.records[r.Fingerprint]; e != nil {
			e.inTable = true
			e.stored = max(e.stored, len(r.Crashes))
			e.storedTried = e.storedTried || r.TrialUsed
		}
	}
}

// MarkAllUnstored records that the table may have lost all rows that it had.
func (l *List) MarkAllUnstored() {
	for _, e := range l.records {
		e.inTable, e.stored, e.storedTried = false, 0, false
	}
}

// MarkRemoved records that the table no longer has rows of these fingerprints.
func (l *List) MarkRemoved(contents []Fingerprint) {
	for _, f := range contents {
		if e := l.records[f]; e != nil {
			e.inTable, e.stored, e.storedTried = false, 0, false
		}
	}
}
