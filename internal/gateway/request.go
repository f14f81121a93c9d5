package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/engine"
	"github.com/ridgehinge/ridgehinge/pkg/admission"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

// Request is a caller's request with its complete body.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Forwarded is set when another data centre's entry instance sent it;
	// such a request is not forwarded again.
	Forwarded bool
	// ID is the request id assigned by the forwarding node.
	ID string
	// Remaining is the time until the deadline of a forwarded request.
	Remaining time.Duration
}

const (
	servicesPrefix = "/services/"
	maxKeyLength   = 200
	maxTimeout     = time.Hour
	// prefixHashBytes is how much of the messages the prefix hash covers:
	// roughly the system prompt, which a workspace's requests share.
	prefixHashBytes = 256
)

// parsedRequest is a validated request.
type parsedRequest struct {
	workspace  control.Workspace
	pool       string
	chat       bool
	stream     bool
	model      string
	fields     map[string]json.RawMessage
	path       string
	prefix     uint64
	deadline   time.Time
	priority   admission.Priority
	repeatable bool
	isRetry    bool
	key        string
}

func badRequest(format string, args ...any) *errorResponse {
	return &errorResponse{
		status:  http.StatusBadRequest,
		kind:    "invalid_request",
		message: fmt.Sprintf(format, args...),
		outcome: OutcomeNotRun,
	}
}

// parseRequest validates a request against the active configuration.
func parseRequest(r *Request, s *control.Snapshot, now time.Time, maxBody int) (parsedRequest, *errorResponse) {
	var p parsedRequest
	if !s.Ready {
		return p, &errorResponse{http.StatusServiceUnavailable, "not_ready", "this entry instance has no configuration yet", OutcomeNotRun, time.Second}
	}
	w, ok := authenticate(r.Header, s.Workspaces)
	if !ok {
		return p, &errorResponse{http.StatusUnauthorized, "unauthorized", "no workspace has this key; send it as Authorization: Bearer KEY", OutcomeNotRun, 0}
	}
	p.workspace = w
	if len(r.Body) > maxBody {
		return p, &errorResponse{http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("the body has %d bytes, at most %d are allowed", len(r.Body), maxBody), OutcomeNotRun, 0}
	}
	if f := p.parseTarget(r); f != nil {
		return p, f
	}
	return p, p.parseHeaders(r, now)
}

// authenticate looks up the workspace by the hash of the key, which prevents
// timing attacks on the key.
func authenticate(h http.Header, workspaces map[string]control.Workspace) (control.Workspace, bool) {
	key, ok := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	if !ok {
		return control.Workspace{}, false
	}
	w, ok := workspaces[configuration.HashKey(key)]
	return w, ok
}

func (p *parsedRequest) parseTarget(r *Request) *errorResponse {
	path, _, _ := strings.Cut(r.Path, "?")
	if path == engine.PathChat {
		return p.parseChat(r)
	}
	rest, ok := strings.CutPrefix(path, servicesPrefix)
	if !ok {
		return &errorResponse{http.StatusNotFound, "not_found", "the paths are " + engine.PathChat + " and " + servicesPrefix + "NAME/...", OutcomeNotRun, 0}
	}
	service, _, _ := strings.Cut(rest, "/")
	if service == "" || service != p.workspace.Template.Service {
		return &errorResponse{http.StatusNotFound, "unknown_service", fmt.Sprintf("workspace %s has no service %q", p.workspace.Name, service), OutcomeNotRun, 0}
	}
	p.pool = control.ServicePool(service)
	p.path = strings.TrimPrefix(r.Path, servicesPrefix+service)
	if !strings.HasPrefix(p.path, "/") {
		p.path = "/" + p.path
	}
	// A plain call may be repeated only if its method is safe.
	p.repeatable = r.Method == http.MethodGet || r.Method == http.MethodHead
	return nil
}

func (p *parsedRequest) parseChat(r *Request) *errorResponse {
	if r.Method != http.MethodPost {
		return &errorResponse{http.StatusMethodNotAllowed, "invalid_request", "send chat completions by POST", OutcomeNotRun, 0}
	}
	if err := json.Unmarshal(r.Body, &p.fields); err != nil {
		return badRequest("the body is not a JSON object: %v", err)
	}
	messages := p.fields["messages"]
	if len(messages) == 0 || messages[0] != '[' {
		return badRequest("messages must be a list")
	}
	if err := unmarshalOptional(p.fields["model"], &p.model); err != nil {
		return badRequest("model must be a string")
	}
	if err := unmarshalOptional(p.fields["stream"], &p.stream); err != nil {
		return badRequest("stream must be true or false")
	}
	t := p.workspace.Template
	if t.Model == "" || p.model != "" && p.model != t.Model {
		return &errorResponse{http.StatusNotFound, "unknown_model", fmt.Sprintf("workspace %s has no model %q", p.workspace.Name, p.model), OutcomeNotRun, 0}
	}
	p.model = t.Model
	p.chat = true
	p.pool = control.ModelPool(t.Name)
	p.path = engine.PathChat
	p.prefix = xxh3.Hash(messages[:min(len(messages), prefixHashBytes)])
	p.repeatable = true
	return nil
}

func unmarshalOptional(raw json.RawMessage, into any) error {
	if len(raw) == 0 {
		return nil
	}
	return json.Unmarshal(raw, into)
}

func (p *parsedRequest) parseHeaders(r *Request, now time.Time) *errorResponse {
	var f *errorResponse
	if p.deadline, f = parseDeadline(r, now, p.workspace.Deadline); f != nil {
		return f
	}
	switch r.Header.Get(HeaderPriority) {
	case "", "normal":
		p.priority = admission.PriorityNormal
	case "high":
		p.priority = admission.PriorityHigh
	case "low":
		p.priority = admission.PriorityLow
	default:
		return badRequest("%s must be high, normal or low", HeaderPriority)
	}
	switch r.Header.Get(HeaderRepeatable) {
	case "":
	case "true":
		p.repeatable = true
	case "false":
		p.repeatable = false
	default:
		return badRequest("%s must be true or false", HeaderRepeatable)
	}
	p.isRetry = r.Header.Get(HeaderRetryOf) != ""
	p.key = r.Header.Get(HeaderKey)
	if len(p.key) > maxKeyLength || strings.ContainsFunc(p.key, notPrintable) {
		return badRequest("%s must be at most %d printable characters without spaces", HeaderKey, maxKeyLength)
	}
	return nil
}

func notPrintable(r rune) bool { return r <= ' ' || r > '~' }

// parseDeadline returns the deadline from the caller's headers, by default
// the workspace's, limited by that of the forwarding node.
func parseDeadline(r *Request, now time.Time, fallback time.Duration) (time.Time, *errorResponse) {
	deadline := now.Add(fallback)
	if text := r.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > maxTimeout.Milliseconds() {
			return deadline, badRequest("%s must be a whole number of milliseconds up to %d", HeaderTimeout, maxTimeout.Milliseconds())
		}
		deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		at, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return deadline, badRequest("%s must be a time such as 2026-01-31T15:04:05Z", HeaderDeadline)
		}
		if remaining := time.Until(at); now.Add(remaining).Before(deadline) {
			deadline = now.Add(remaining)
		}
	}
	if r.Forwarded && now.Add(r.Remaining).Before(deadline) {
		deadline = now.Add(r.Remaining)
	}
	if !deadline.After(now) {
		return deadline, &errorResponse{http.StatusGatewayTimeout, "deadline_passed", "the deadline had passed when the request arrived", OutcomeNotRun, 0}
	}
	return deadline, nil
}
