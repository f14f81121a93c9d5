package operatorapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/confstore"
	"github.com/ridgehinge/ridgehinge/internal/control"
	"github.com/ridgehinge/ridgehinge/internal/httpresponse"
	"github.com/ridgehinge/ridgehinge/pkg/configuration"
)

const clientTimeout = 15 * time.Second

// maxResponseBytes bounds one response of the API.
const maxResponseBytes = 64 << 20

// Client calls the operator API of one entry instance.
type Client struct {
	server string
	key    string
	http   *http.Client
}

// transport is that of all clients, as http.DefaultTransport would be.
var transport = httpresponse.NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// NewClient returns a client for an address and key.
func NewClient(server, key string) *Client {
	return &Client{server: server, key: key, http: &http.Client{Transport: transport, Timeout: clientTimeout}}
}

// Error is an error response of the API.
type Error struct {
	Status int
	ErrorBody
}

// Error returns the message with each mistake or difference on its own line.
func (e *Error) Error() string {
	lines := []string{e.Message}
	for _, m := range e.Mistakes {
		lines = append(lines, "  "+m.Error())
	}
	if e.Conflict != nil {
		lines = append(lines, fmt.Sprintf("  changed since revision %d:", e.Conflict.Base))
		for _, d := range e.Conflict.Theirs {
			lines = append(lines, "    "+d.String())
		}
		lines = append(lines, "  changed by you:")
		for _, d := range e.Conflict.Yours {
			lines = append(lines, "    "+d.String())
		}
	}
	return strings.Join(lines, "\n")
}

func (c *Client) call(method, path string, query url.Values, body []byte, out any) error {
	target := url.URL{Scheme: "http", Host: c.server, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequest(method, target.String(), bytes.NewReader(body))
	if err != nil {
		return oops.In("operator").Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.http.Do(request)
	if err != nil {
		return oops.In("operator").Wrapf(err, "call %s", c.server)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return oops.In("operator").Wrapf(err, "call %s", c.server)
	}
	if response.StatusCode != http.StatusOK {
		failed := &Error{Status: response.StatusCode}
		if json.Unmarshal(text, &failed.ErrorBody) != nil {
			failed.Message = fmt.Sprintf("%s responded with status %d", c.server, response.StatusCode)
		}
		return failed
	}
	return oops.In("operator").Wrap(json.Unmarshal(text, out))
}

// Submit submits a template that is based on a revision, 0 for a new template. If
// the request id is empty, the server generates one.
func (c *Client) Submit(file string, text []byte, base configuration.Revision, requestID string) (confstore.Accepted, error) {
	query := url.Values{}
	query.Set(QueryBase, strconv.FormatUint(uint64(base), 10))
	query.Set(QueryFile, file)
	if requestID != "" {
		query.Set(QueryRequestID, requestID)
	}
	var accepted confstore.Accepted
	err := c.call(http.MethodPost, PathTemplates, query, text, &accepted)
	return accepted, err
}

// List returns all templates.
func (c *Client) List() (ListBody, error) {
	var body ListBody
	err := c.call(http.MethodGet, PathTemplates, nil, nil, &body)
	return body, err
}

// Show returns one template.
func (c *Client) Show(name string) (configuration.Entry, error) {
	var entry configuration.Entry
	err := c.call(http.MethodGet, PathTemplates+"/"+name, nil, nil, &entry)
	return entry, err
}

// History returns all changes of one template.
func (c *Client) History(name string) (HistoryBody, error) {
	var body HistoryBody
	err := c.call(http.MethodGet, PathTemplates+"/"+name+"/history", nil, nil, &body)
	return body, err
}

// Diff returns the difference between two revisions of a template.
func (c *Client) Diff(name string, from, to configuration.Revision) (DiffBody, error) {
	query := url.Values{}
	query.Set(QueryFrom, strconv.FormatUint(uint64(from), 10))
	query.Set(QueryTo, strconv.FormatUint(uint64(to), 10))
	var body DiffBody
	err := c.call(http.MethodGet, PathTemplates+"/"+name+"/diff", query, nil, &body)
	return body, err
}

// Status returns the status of the server's data centre.
func (c *Client) Status() (control.Status, error) {
	var status control.Status
	err := c.call(http.MethodGet, PathStatus, nil, nil, &status)
	return status, err
}
