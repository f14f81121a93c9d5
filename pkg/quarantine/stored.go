package quarantine

// What has ended all but one of the endpoints that it may end is written to the platform's
// table: if all nodes are killed, fewer ends than those are forgotten at a time.

// Unstored returns at most a number of records with so many ends or more of which the table
// does not have all, and the contents of which it has a row that is not needed any more,
// since such requests were served.
func (l *List) Unstored(ends, most int) (write []Record, remove []Fingerprint) {
	for f, e := range l.records {
		lacks := e.stored < min(len(e.Ends), Limit) || e.Tried && !e.storedTried
		switch {
		case e.inTable && e.cleared():
			remove = append(remove, f)
		case len(write) < most && !e.cleared() && len(e.Ends) >= ends && lacks:
			write = append(write, e.clone())
		}
	}
	return write, remove
}

// Stored notes that the table has rows of these records, as they are given.
func (l *List) Stored(records []Record) {
	for _, r := range records {
		if e := l.records[r.Fingerprint]; e != nil {
			e.inTable = true
			e.stored = max(e.stored, len(r.Ends))
			e.storedTried = e.storedTried || r.Tried
		}
	}
}

// Lost notes that the table may hold none of the rows that it had.
func (l *List) Lost() {
	for _, e := range l.records {
		e.inTable, e.stored, e.storedTried = false, 0, false
	}
}

// Removed notes that the table has no rows of these contents any more.
func (l *List) Removed(contents []Fingerprint) {
	for _, f := range contents {
		if e := l.records[f]; e != nil {
			e.inTable, e.stored, e.storedTried = false, 0, false
		}
	}
}
