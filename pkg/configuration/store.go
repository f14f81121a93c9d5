package configuration

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Revision numbers the accepted changes of all templates together. It rises
// by one with each accepted change.
type Revision uint64

// Entry is one template at the revision that last changed it.
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

// Revision returns the revision that is in force.
func (s *Store) Revision() Revision { return s.revision }

// Get returns the entry of a template.
func (s *Store) Get(name string) (Entry, bool) {
	e, ok := s.entries[name]
	return e, ok
}

// Entries returns all entries, by name.
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

// DeltaSince returns what a node at an older revision lacks.
func (s *Store) DeltaSince(since Revision) Delta {
	d := Delta{Since: since, To: s.revision}
	for _, e := range s.Entries() {
		if e.Revision > since {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}

// Apply takes a delta. It returns false, and changes nothing, when the delta
// would leave a gap or brings nothing newer. An entry is only ever replaced
// by one with a higher revision: a delta that was delayed on its way must not
// bring an older template back.
func (s *Store) Apply(d Delta) bool {
	if d.Since > s.revision || d.To <= s.revision {
		return false
	}
	for _, e := range d.Entries {
		if old, ok := s.entries[e.Name]; ok && old.Revision >= e.Revision {
			continue
		}
		s.entries[e.Name] = e
	}
	s.revision = d.To
	return true
}

// Difference is one field that two templates do not share.
type Difference struct {
	Field string `json:"field"`
	Left  string `json:"left"`
	Right string `json:"right"`
}

// String returns the difference on one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s | %s", d.Field, d.Left, d.Right)
}

// Diff lists the fields in which two templates differ, by field name. A nil
// template stands for one that does not exist.
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

// fields flattens a template by way of its JSON form, so that a field which
// is added to Template later is compared without a change here.
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
