// Package inicheck parses and validates INI text and reports all mistakes at
// once, each with its file, section, key, given value and allowed values. It is
// used for settings and for templates.
package inicheck

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Mistake is an invalid, missing or unknown section or key.
type Mistake struct {
	File    string
	Section string
	Key     string
	Given   string
	Allowed string
}

// Error returns the mistake on one line.
func (m Mistake) Error() string {
	location := m.File + ": [" + m.Section + "]"
	if m.Key != "" {
		location += " " + m.Key
	}
	return fmt.Sprintf("%s: given %q, allowed: %s", location, m.Given, m.Allowed)
}

// Mistakes are the mistakes of one file.
type Mistakes []Mistake

// Error returns the mistakes, one per line.
func (ms Mistakes) Error() string {
	lines := make([]string, 0, len(ms))
	for _, m := range ms {
		lines = append(lines, m.Error())
	}
	return strings.Join(lines, "\n")
}

// File is a parsed INI file.
type File struct {
	name     string
	sections map[string]*Section
	order    []string
	mistakes Mistakes
}

// Section is one section of a File. File.Err reports the keys that were never
// read as unknown.
type Section struct {
	file *File
	name string
	keys map[string]string
	used []string
	read bool
}

// Parse parses INI text. If the text is not valid INI, the File has one mistake
// and no sections.
func Parse(name string, text []byte) *File {
	f := &File{name: name, sections: map[string]*Section{}}
	options := ini.LoadOptions{
		Insensitive:             false,
		IgnoreInlineComment:     true,
		AllowShadows:            true,
		SkipUnrecognizableLines: false,
	}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		f.add("", "", err.Error(), "INI text: [section] lines and key = value lines")
		return f
	}
	for _, section := range parsed.Sections() {
		f.addSection(section)
	}
	return f
}

func (f *File) addSection(section *ini.Section) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.Keys() {
			f.add("", key.Name(), key.Value(), "keys only inside a [section]")
		}
		return
	}
	s := &Section{file: f, name: section.Name(), keys: map[string]string{}}
	for _, key := range section.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			f.add(s.name, key.Name(), strings.Join(values, " and "), "the key once")
		}
		s.keys[key.Name()] = strings.TrimSpace(key.Value())
	}
	f.sections[s.name] = s
	f.order = append(f.order, s.name)
}

func (f *File) add(section, key, given, allowed string) {
	f.mistakes = append(f.mistakes, Mistake{f.name, section, key, given, allowed})
}

// Section returns the named section, which is empty if it is missing.
func (f *File) Section(name string) *Section {
	s, ok := f.sections[name]
	if !ok {
		s = &Section{file: f, name: name, keys: map[string]string{}}
		f.sections[name] = s
	}
	s.read = true
	return s
}

// Named returns the sections `[prefix NAME]` with their NAMEs, in file order.
func (f *File) Named(prefix string) []NamedSection {
	var out []NamedSection
	for _, name := range f.order {
		rest, ok := strings.CutPrefix(name, prefix+" ")
		if !ok {
			continue
		}
		out = append(out, NamedSection{Name: strings.TrimSpace(rest), Section: f.Section(name)})
	}
	return out
}

// NamedSection is a section `[prefix NAME]`.
type NamedSection struct {
	Name string
	*Section
}

// Err returns all mistakes, including unknown sections and keys, or nil.
func (f *File) Err() error {
	for _, name := range f.order {
		s := f.sections[name]
		if !s.read {
			f.add(name, "", name, "a documented section")
			continue
		}
		s.addUnknown()
	}
	if len(f.mistakes) == 0 {
		return nil
	}
	return f.mistakes
}

func (s *Section) addUnknown() {
	var unknown []string
	for key := range s.keys {
		if !slices.Contains(s.used, key) {
			unknown = append(unknown, key)
		}
	}
	sort.Strings(unknown)
	known := slices.Clone(s.used)
	sort.Strings(known)
	for _, key := range unknown {
		s.Reject(key, s.keys[key], "one of the keys "+strings.Join(known, ", "))
	}
}

// Reject adds a mistake that the caller found.
func (s *Section) Reject(key, given, allowed string) {
	s.file.add(s.name, key, given, allowed)
}

func (s *Section) lookup(key string) (string, bool) {
	s.used = append(s.used, key)
	value, ok := s.keys[key]
	return value, ok && value != ""
}

// String returns the value of a key, or the fallback if it is missing.
func (s *Section) String(key, fallback string) string {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	return value
}

// Required returns the value of a key that must be present.
func (s *Section) Required(key, allowed string) string {
	value, ok := s.lookup(key)
	if !ok {
		s.Reject(key, "", allowed)
	}
	return value
}

// Name returns a required name that satisfies IsName.
func (s *Section) Name(key string) string {
	const allowed = "a name of 1 to 63 letters, digits, '.', '-' and '_'"
	value := s.Required(key, allowed)
	if value != "" && !IsName(value) {
		s.Reject(key, value, allowed)
	}
	return value
}

const maxNameLength = 63

// IsName reports whether the text is a valid name of a workspace, template, node
// or data centre.
func IsName(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune(".-_", r) {
			return false
		}
	}
	return true
}

// Int returns an integer within bounds.
func (s *Section) Int(key string, fallback, minimum, maximum int) int {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maximum {
		s.Reject(key, value, fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
		return fallback
	}
	return n
}

// Float returns a number within bounds.
func (s *Section) Float(key string, fallback, minimum, maximum float64) float64 {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= minimum && n <= maximum) {
		s.Reject(key, value, fmt.Sprintf("a number from %g to %g", minimum, maximum))
		return fallback
	}
	return n
}

// Bool returns a boolean: true, yes, false or no.
func (s *Section) Bool(key string, fallback bool) bool {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	switch value {
	case "true", "yes":
		return true
	case "false", "no":
		return false
	}
	s.Reject(key, value, "true or false")
	return fallback
}

// Duration returns a duration within bounds.
func (s *Section) Duration(key string, fallback, minimum, maximum time.Duration) time.Duration {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < minimum || d > maximum {
		s.Reject(key, value, fmt.Sprintf("a duration from %s to %s, such as 250ms or 2s", minimum, maximum))
		return fallback
	}
	return d
}

// OneOf returns one of the allowed values.
func (s *Section) OneOf(key, fallback string, allowed ...string) string {
	value, ok := s.lookup(key)
	if !ok {
		return fallback
	}
	if !slices.Contains(allowed, value) {
		s.Reject(key, value, "one of "+strings.Join(allowed, ", "))
		return fallback
	}
	return value
}

// List returns the comma-separated values of a key, without empty values.
func (s *Section) List(key string) []string {
	value, _ := s.lookup(key)
	var out []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Address returns a required IP address with a port.
func (s *Section) Address(key string) string {
	const allowed = "an IP address with a port, such as 127.0.0.1:8080"
	value := s.Required(key, allowed)
	if value == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.Reject(key, value, allowed)
	}
	return value
}
