// Package confstore stores the configuration in the platform's table.
//
// The head row has the latest revision. Each accepted change writes, in one
// transaction, the head, the template's row, a change row under the new revision, a
// history row and a row for the operator's request id. The condition on the head row
// serialises concurrent changes.
package confstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

// HeadKey is the key of the head row.
const HeadKey = "config/head"

const (
	templatePrefix = "config/t/"
	changePrefix   = "config/c/"
	historyPrefix  = "config/h/"
	requestPrefix  = "config/r/"
	// maxChangeReads is the number of change rows beyond which a scan of all
	// templates is cheaper.
	maxChangeReads = 64
	submitAttempts = 5
)

// Head is the value of the head row.
type Head struct {
	Revision configuration.Revision `json:"revision"`
}

// Change is the value of change and history rows.
type Change struct {
	Entry configuration.Entry `json:"entry"`
	// Base is the revision on which the operator based the change.
	Base configuration.Revision `json:"base"`
	At   time.Time              `json:"at"`
}

type requestRow struct {
	Name     string                 `json:"name"`
	Revision configuration.Revision `json:"revision"`
}

func changeKey(r configuration.Revision) string { return fmt.Sprintf("%s%016d", changePrefix, r) }

func historyKey(name string, r configuration.Revision) string {
	return fmt.Sprintf("%s%s/%016d", historyPrefix, name, r)
}

// DecodeHead decodes a head row; a missing row is revision 0.
func DecodeHead(row platform.Row) (Head, error) {
	var head Head
	if row.Version == 0 {
		return head, nil
	}
	err := json.Unmarshal(row.Value, &head)
	return head, oops.In("confstore").Wrap(err)
}

// Delta reads the changes after revision since, up to revision to.
func Delta(ctx context.Context, table *platform.Client, since, to configuration.Revision) (configuration.Delta, error) {
	if to-since > maxChangeReads {
		return readAll(ctx, table, to)
	}
	var keys []string
	for r := since + 1; r <= to; r++ {
		keys = append(keys, changeKey(r))
	}
	rows, err := table.Get(ctx, keys...)
	if err != nil {
		return configuration.Delta{}, err
	}
	delta := configuration.Delta{Since: since, To: to}
	for _, row := range rows {
		if row.Version == 0 {
			return readAll(ctx, table, to)
		}
		var change Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return delta, oops.In("confstore").Wrapf(err, "read %s", row.Key)
		}
		delta.Entries = append(delta.Entries, change.Entry)
	}
	return delta, nil
}

// readAll reads all templates, for a node that is too far behind for a delta.
func readAll(ctx context.Context, table *platform.Client, to configuration.Revision) (configuration.Delta, error) {
	delta := configuration.Delta{To: to}
	rows, err := table.Scan(ctx, templatePrefix)
	if err != nil {
		return delta, err
	}
	for _, row := range rows {
		var entry configuration.Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return delta, oops.In("confstore").Wrapf(err, "read %s", row.Key)
		}
		delta.Entries = append(delta.Entries, entry)
	}
	return delta, nil
}

// Submission is an operator's change of one template.
type Submission struct {
	// RequestID is the idempotency key of the submission; it must not be empty.
	RequestID string
	// Base is the revision of the template on which the change is based; 0 requires
	// that the template does not exist yet.
	Base     configuration.Revision
	Template *configuration.Template
}

// Conflict is the error of a submission with a stale base.
type Conflict struct {
	Name    string                 `json:"name"`
	Base    configuration.Revision `json:"base"`
	Current configuration.Revision `json:"current"`
	// Theirs are the changes between the base and the current revision, Yours
	// those of the submission against the base.
	Theirs []configuration.Difference `json:"theirs"`
	Yours  []configuration.Difference `json:"yours"`
}

// Error returns a message with the template and the way to resolve the conflict.
func (c *Conflict) Error() string {
	return fmt.Sprintf("template %s is at revision %d, not %d; read it again and base the change on it", c.Name, c.Current, c.Base)
}

// WorkspaceConflict is the error of a submission with a workspace name or key that
// another template uses.
type WorkspaceConflict struct {
	Workspace string
	Template  string
}

// Error returns a message with the workspace and the template that uses its name or key.
func (t *WorkspaceConflict) Error() string {
	return fmt.Sprintf("workspace %s has the name or the key of one in template %s; choose another", t.Workspace, t.Template)
}

// Accepted is the result of an accepted submission.
type Accepted struct {
	Revision configuration.Revision `json:"revision"`
	// Repeated is set if an earlier submission with the same request id was
	// accepted; nothing was written.
	Repeated bool `json:"repeated,omitempty"`
}

// Submit writes a change if its base is current. It retries if only other
// templates were changed concurrently.
func Submit(ctx context.Context, table *platform.Client, s Submission, at time.Time) (Accepted, error) {
	for range submitAttempts {
		accepted, retry, err := submitOnce(ctx, table, s, at)
		if err != nil || !retry {
			return accepted, err
		}
	}
	return Accepted{}, oops.In("confstore").Wrap(fmt.Errorf("%w: too many other changes, submit again", platform.ErrConflict))
}

func submitOnce(ctx context.Context, table *platform.Client, s Submission, at time.Time) (Accepted, bool, error) {
	name := s.Template.Name
	requestKey := requestPrefix + s.RequestID
	rows, err := table.Get(ctx, HeadKey, templatePrefix+name, requestKey)
	if err != nil {
		return Accepted{}, false, err
	}
	if accepted, ok, err := findEarlierSubmission(rows[2], name); ok || err != nil {
		return accepted, false, err
	}
	head, err := DecodeHead(rows[0])
	if err != nil {
		return Accepted{}, false, err
	}
	if err := s.checkBase(ctx, table, rows[1]); err != nil {
		return Accepted{}, false, err
	}
	if err := s.checkWorkspaces(ctx, table, head.Revision); err != nil {
		return Accepted{}, false, err
	}
	next := head.Revision + 1
	entry := configuration.Entry{Name: name, Revision: next, Template: s.Template}
	change := Change{Entry: entry, Base: s.Base, At: at.UTC()}
	outcome, err := table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{
			{Key: HeadKey, Version: rows[0].Version},
			{Key: templatePrefix + name, Version: rows[1].Version},
			{Key: requestKey, Version: 0},
		},
		Writes: []platform.Write{
			{Key: HeadKey, Value: Head{Revision: next}},
			{Key: templatePrefix + name, Value: entry},
			{Key: changeKey(next), Value: change},
			{Key: historyKey(name, next), Value: change},
			{Key: requestKey, Value: requestRow{Name: name, Revision: next}},
		},
	})
	if err != nil {
		return Accepted{}, false, err
	}
	return Accepted{Revision: next}, !outcome.Committed, nil
}

// ErrRequestIDReused means that a request id was used for another template.
var ErrRequestIDReused = errors.New("the request id belongs to a change of another template; use a new one")

func findEarlierSubmission(row platform.Row, name string) (Accepted, bool, error) {
	if row.Version == 0 {
		return Accepted{}, false, nil
	}
	var earlier requestRow
	if err := json.Unmarshal(row.Value, &earlier); err != nil {
		return Accepted{}, false, oops.In("confstore").Wrap(err)
	}
	if earlier.Name != name {
		return Accepted{}, false, ErrRequestIDReused
	}
	return Accepted{Revision: earlier.Revision, Repeated: true}, true, nil
}

func (s Submission) checkBase(ctx context.Context, table *platform.Client, row platform.Row) error {
	var current configuration.Entry
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return oops.In("confstore").Wrap(err)
		}
	}
	if current.Revision == s.Base {
		return nil
	}
	conflict := &Conflict{Name: s.Template.Name, Base: s.Base, Current: current.Revision}
	base, err := At(ctx, table, s.Template.Name, s.Base)
	if err != nil {
		return err
	}
	conflict.Theirs = configuration.Diff(base, current.Template)
	conflict.Yours = configuration.Diff(base, s.Template)
	return conflict
}

// checkWorkspaces rejects workspace names and keys that another template uses: a key
// must identify one workspace.
func (s Submission) checkWorkspaces(ctx context.Context, table *platform.Client, head configuration.Revision) error {
	delta, err := readAll(ctx, table, head)
	if err != nil {
		return err
	}
	for _, entry := range delta.Entries {
		if entry.Name == s.Template.Name || entry.Template == nil {
			continue
		}
		for _, other := range entry.Template.Workspaces {
			for _, w := range s.Template.Workspaces {
				if w.Name == other.Name || w.KeyHash == other.KeyHash {
					return &WorkspaceConflict{Workspace: w.Name, Template: entry.Name}
				}
			}
		}
	}
	return nil
}

// At returns a template at one of its revisions, or nil if that revision is not one
// of the template's.
func At(ctx context.Context, table *platform.Client, name string, r configuration.Revision) (*configuration.Template, error) {
	if r == 0 {
		return nil, nil
	}
	rows, err := table.Get(ctx, historyKey(name, r))
	if err != nil || rows[0].Version == 0 {
		return nil, err
	}
	var change Change
	if err := json.Unmarshal(rows[0].Value, &change); err != nil {
		return nil, oops.In("confstore").Wrap(err)
	}
	return change.Entry.Template, nil
}

// History returns all changes of a template, oldest first.
func History(ctx context.Context, table *platform.Client, name string) ([]Change, error) {
	rows, err := table.Scan(ctx, historyPrefix+name+"/")
	if err != nil {
		return nil, err
	}
	var out []Change
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, oops.In("confstore").Wrapf(err, "read %s", row.Key)
		}
		out = append(out, change)
	}
	return out, nil
}
