// Package operatorapi is the operators' HTTP API for templates and status. Every
// call is authenticated by the operator's key.
package operatorapi

import (
	"context"
	"crypto/hmac"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/xid"

	"github.com/ridgehinge/ridgehinge/internal/confstore"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/inicheck"
	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

const (
	maxTemplateBytes = 1 << 20
	callTimeout      = 5 * time.Second
)

// Options of an API.
type Options struct {
	Node  string
	Key   string
	Table *platform.Client
	Loop  *control.Loop
}

// API serves the operators' calls.
type API struct {
	options Options
	log     logging.Logger
}

// New returns an API.
func New(o Options) *API {
	return &API{options: o, log: logging.For("operator").With("node", o.Node)}
}

// Handler returns the HTTP interface.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathTemplates, a.submit)
	mux.HandleFunc("GET "+PathTemplates, a.list)
	mux.HandleFunc("GET "+PathTemplates+"/{name}", a.show)
	mux.HandleFunc("GET "+PathTemplates+"/{name}/history", a.history)
	mux.HandleFunc("GET "+PathTemplates+"/{name}/diff", a.diff)
	mux.HandleFunc("GET "+PathStatus, a.status)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.authorised(r) {
			writeError(w, http.StatusUnauthorized, ErrorBody{Message: "the operator's key is missing or wrong; send it as Authorization: Bearer KEY"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (a *API) authorised(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && hmac.Equal([]byte(configuration.HashKey(key)), []byte(configuration.HashKey(a.options.Key)))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"message":"the response could not be encoded"}`)
	}
	text = append(text, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func writeError(w http.ResponseWriter, status int, body ErrorBody) { writeJSON(w, status, body) }

// handleError writes the response for an error.
func (a *API) handleError(w http.ResponseWriter, err error) {
	var mistakes inicheck.Mistakes
	var conflict *confstore.Conflict
	var workspaceConflict *confstore.WorkspaceConflict
	switch {
	case errors.As(err, &mistakes):
		writeError(w, http.StatusBadRequest, ErrorBody{Message: "the template has mistakes", Mistakes: mistakes})
	case errors.As(err, &conflict):
		writeError(w, http.StatusConflict, ErrorBody{Message: conflict.Error(), Conflict: conflict})
	case errors.As(err, &workspaceConflict), errors.Is(err, confstore.ErrRequestIDReused):
		writeError(w, http.StatusConflict, ErrorBody{Message: err.Error()})
	case errors.Is(err, platform.ErrUnavailable):
		w.Header().Set("Retry-After", "2")
		writeError(w, http.StatusServiceUnavailable, ErrorBody{Message: "the platform's table is unavailable; a submission may have been accepted: retry it with the same request id"})
	default:
		a.log.Error("a call failed", "error", err)
		writeError(w, http.StatusInternalServerError, ErrorBody{Message: err.Error()})
	}
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxTemplateBytes+1))
	if err != nil || len(text) > maxTemplateBytes {
		writeError(w, http.StatusRequestEntityTooLarge, ErrorBody{Message: fmt.Sprintf("a template has at most %d bytes", maxTemplateBytes)})
		return
	}
	query := r.URL.Query()
	base, err := strconv.ParseUint(query.Get(QueryBase), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorBody{Message: "base must be the revision that the template is based on; 0 for a new one"})
		return
	}
	file := query.Get(QueryFile)
	if file == "" {
		file = "template"
	}
	template, err := configuration.Parse(file, text)
	if err != nil {
		a.handleError(w, err)
		return
	}
	requestID := query.Get(QueryRequestID)
	if requestID == "" {
		requestID = xid.New().String()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := a.checkFit(ctx, file, template); err != nil {
		a.handleError(w, err)
		return
	}
	accepted, err := confstore.Submit(ctx, a.options.Table, confstore.Submission{
		RequestID: requestID,
		Base:      configuration.Revision(base),
		Template:  template,
	}, time.Now())
	if err != nil {
		a.handleError(w, err)
		return
	}
	a.log.Info("accepted a template", "template", template.Name, "revision", uint64(accepted.Revision), "repeated", accepted.Repeated)
	writeJSON(w, http.StatusOK, accepted)
}

// checkFit rejects a template whose groups are larger than every fabric domain of
// its data centres, since no group of it could be placed.
func (a *API) checkFit(ctx context.Context, file string, t *configuration.Template) error {
	if t.Model == "" {
		return nil
	}
	list, _, err := a.options.Table.Instances(ctx, "", 0)
	if err != nil {
		return err
	}
	sizes := map[fleet.DataCentre]map[string]int{}
	for _, in := range list {
		if in.Kind != fleet.KindEngine || !t.RunsIn(in.DataCentre) {
			continue
		}
		if sizes[in.DataCentre] == nil {
			sizes[in.DataCentre] = map[string]int{}
		}
		sizes[in.DataCentre][in.Domain]++
	}
	largest := 0
	for _, domains := range sizes {
		for _, size := range domains {
			largest = max(largest, size)
		}
	}
	if largest >= t.ReplicaSize {
		return nil
	}
	return inicheck.Mistakes{{
		File:    file,
		Section: "template",
		Key:     "replica_size",
		Given:   strconv.Itoa(t.ReplicaSize),
		Allowed: fmt.Sprintf("at most %d, the size of the largest fabric domain in its data centres", largest),
	}}
}

// readTemplates reads the current templates from the table.
func (a *API) readTemplates(ctx context.Context) (ListBody, error) {
	rows, err := a.options.Table.Get(ctx, confstore.HeadKey)
	if err != nil {
		return ListBody{}, err
	}
	head, err := confstore.DecodeHead(rows[0])
	if err != nil || head.Revision == 0 {
		return ListBody{}, err
	}
	delta, err := confstore.Delta(ctx, a.options.Table, 0, head.Revision)
	if err != nil {
		return ListBody{}, err
	}
	store := configuration.NewStore()
	store.Apply(delta)
	return ListBody{Revision: head.Revision, Entries: store.Entries()}, nil
}

func (a *API) list(w http.ResponseWriter, _ *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body, err := a.readTemplates(ctx)
	if err != nil {
		a.handleError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func (a *API) show(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body, err := a.readTemplates(ctx)
	if err != nil {
		a.handleError(w, err)
		return
	}
	for _, entry := range body.Entries {
		if entry.Name == r.PathValue("name") {
			writeJSON(w, http.StatusOK, entry)
			return
		}
	}
	writeError(w, http.StatusNotFound, ErrorBody{Message: "there is no template " + r.PathValue("name")})
}

func (a *API) history(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	changes, err := confstore.History(ctx, a.options.Table, r.PathValue("name"))
	if err != nil {
		a.handleError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, HistoryBody{changes})
}

func (a *API) diff(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var sides [2]*configuration.Template
	for i, name := range []string{QueryFrom, QueryTo} {
		revision, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
		if err != nil {
			writeError(w, http.StatusBadRequest, ErrorBody{Message: name + " must be a revision of the template"})
			return
		}
		sides[i], err = confstore.At(ctx, a.options.Table, r.PathValue("name"), configuration.Revision(revision))
		if err != nil {
			a.handleError(w, err)
			return
		}
		if sides[i] == nil {
			writeError(w, http.StatusNotFound, ErrorBody{Message: fmt.Sprintf("template %s has no revision %d; see its history", r.PathValue("name"), revision)})
			return
		}
	}
	writeJSON(w, http.StatusOK, DiffBody{configuration.Diff(sides[0], sides[1])})
}

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := a.options.Loop.Status(ctx)
	if err != nil {
		a.handleError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}
