package configuration

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Revision is the revision of all templates together. Each accepted change
// increments it.
type Revision uint64

// Entry is a template with the revision that last changed it.
type Entry struct {
	Name     string   `json:"name"`
	Revision Revision `json:"revision"`
	// Template is nil for a template that was removed.
	Template *Template `json:"template,omitempty"`
}

// Store holds the newest known entry of every template. The zero value is
// not ready for use; call NewStore.
type Store struct {
	revision Revision
	entries  map[string]Entry
}

// NewStore returns an empty store at revision 0.
func NewStore() *Store {
	return &Store{entries: map[string]Entry{}}
}

// Revision returns the current revision.
func (s *Store) Revision() Revision { return s.revision }

// Get returns the entry of a template.
func (s *Store) Get(name string) (Entry, bool) {
	e, ok := s.entries[name]
	return e, ok
}

// Entries returns all entries, sorted by name.
func (s *Store) Entries() []Entry {
	out := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Delta is every entry that changed after Since, up to To.
type Delta struct {
	Since   Revision `json:"since"`
	To      Revision `json:"to"`
	Entries []Entry  `json:"entries"`
}

// DeltaSince returns the changes since an older revision.
func (s *Store) DeltaSince(since Revision) Delta {
	d := Delta{Since: since, To: s.revision}
	for _, e := range s.Entries() {
		if e.Revision > since {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}

// Apply applies a delta. It returns false, and changes nothing, if the delta
// would leave a gap or has no newer revision. An entry is replaced only by one
// with a higher revision, so that a delayed delta does not restore an older
// template.
func (s *Store) Apply(d Delta) bool {
	if d.Since > s.revision || d.To <= s.revision {
		return false
	}
	for _, e := range d.Entries {
		if current, ok := s.entries[e.Name]; ok && current.Revision >= e.Revision {
			continue
		}
		s.entries[e.Name] = e
	}
	s.revision = d.To
	return true
}

// Difference is one field in which two templates differ.
type Difference struct {
	Field string `json:"field"`
	Left  string `json:"left"`
	Right string `json:"right"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s | %s", d.Field, d.Left, d.Right)
}

// Diff returns the fields in which two templates differ, sorted by name. A nil
// template is one that does not exist.
func Diff(left, right *Template) []Difference {
	l, r := fields(left), fields(right)
	names := map[string]struct{}{}
	for name := range l {
		names[name] = struct{}{}
	}
	for name := range r {
		names[name] = struct{}{}
	}
	var out []Difference
	for name := range names {
		if l[name] != r[name] {
			out = append(out, Difference{Field: name, Left: l[name], Right: r[name]})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}

// fields returns a template's fields as JSON, by name. The conversion to JSON
// includes fields that are added to Template later.
func fields(t *Template) map[string]string {
	out := map[string]string{}
	if t == nil {
		return out
	}
	text, err := json.Marshal(t)
	if err != nil {
		return out
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return out
	}
	for name, value := range raw {
		if name != "workspaces" {
			out[name] = string(value)
		}
	}
	for _, w := range t.Workspaces {
		text, _ := json.Marshal(w)
		out["workspace "+w.Name] = string(text)
	}
	return out
}
