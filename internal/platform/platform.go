// Package platform is the client of the platform's services: the transactional
// table and the instance list.
//
// The response to a commit can be lost after the commit took effect. Every value
// is therefore stored in an envelope with the operation's id: Commit retries the
// same conditional transaction and recognises its own earlier write by that id.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rs/xid"
	"github.com/samber/oops"

	"github.com/ridgehinge/ridgehinge/internal/bytecount"
	"github.com/ridgehinge/ridgehinge/internal/httpresponse"
	"github.com/ridgehinge/ridgehinge/internal/link"
	"github.com/ridgehinge/ridgehinge/pkg/fleet"
)

// ErrUnavailable means that there was no valid response; a write may or may not
// have taken effect.
var ErrUnavailable = errors.New("platform unavailable")

// ErrConflict means that a condition failed and nothing was written.
var ErrConflict = errors.New("a row has changed")

const (
	maxResponse      = 64 << 20
	commitAttempts   = 3
	commitRetryPause = 100 * time.Millisecond
)

// Options of a Client.
type Options struct {
	// Address is the IP and port of the platform's service.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// Source is the local address of connections, or nil for any.
	Source net.Addr
}

// Client calls one platform service. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	bytes   *bytecount.Counter
}

// New returns a client without open connections.
func New(options Options) *Client {
	dialer := link.New(options.Source).Dialer()
	counts := &bytecount.Counter{}
	transport := link.Transport(counts.DialContext(dialer))
	transport.DisableCompression = false
	transport.MaxIdleConnsPerHost = 8
	transport.IdleConnTimeout = time.Minute
	return &Client{options: options, http: &http.Client{Transport: link.ResetOnError(httpresponse.NewTransport(transport)), Timeout: options.Timeout}, bytes: counts}
}

// Bytes returns the byte counter of the client's connections.
func (c *Client) Bytes() *bytecount.Counter { return c.bytes }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// envelope is the stored form of a value, with the id of the writing operation.
type envelope struct {
	Op    string          `json:"op"`
	Value json.RawMessage `json:"value"`
}

// Write is one row to write; Value is marshalled to JSON.
type Write struct {
	Key   string
	Value any
}

// Txn is one conditional transaction. The first write's row must be among the
// conditions: after a lost response it shows whether the transaction committed.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []string
}

// Outcome is the known result of a commit.
type Outcome struct {
	Committed bool
	Version   uint64
	// Failed has the current rows of the failed conditions.
	Failed []Row
}

// Get reads one row for each key, in the order of the keys.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var response RowsResponse
	if err := c.call(ctx, PathGet, GetRequest{Keys: keys}, &response); err != nil {
		return nil, err
	}
	if len(response.Rows) != len(keys) {
		return nil, unavailable("get", fmt.Errorf("%d rows for %d keys", len(response.Rows), len(keys)))
	}
	return unwrap(response.Rows)
}

// Scan reads all rows with a key prefix, ordered by key.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var response RowsResponse
	if err := c.call(ctx, PathScan, ScanRequest{Prefix: prefix}, &response); err != nil {
		return nil, err
	}
	return unwrap(response.Rows)
}

func unwrap(rows []Row) ([]Row, error) {
	for i, row := range rows {
		if row.Version == 0 {
			continue
		}
		var e envelope
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return nil, unavailable("read "+row.Key, err)
		}
		rows[i].Value = e.Value
	}
	return rows, nil
}

// Commit writes a transaction. It retries after a lost response, which is safe
// because the conditions fail once the transaction has taken effect. If a retry
// finds the first row changed, the row's operation id shows whether the change is
// this transaction's own.
func (c *Client) Commit(ctx context.Context, txn Txn) (Outcome, error) {
	op := xid.New().String()
	request, err := txn.encode(op)
	if err != nil {
		return Outcome{}, err
	}
	var lastErr error
	uncertain := false
	for range commitAttempts {
		var response CommitResponse
		lastErr = c.call(ctx, PathCommit, request, &response)
		if lastErr == nil {
			return c.resolve(ctx, op, txn, response, uncertain)
		}
		uncertain = true
		if !pause(ctx, commitRetryPause) {
			break
		}
	}
	return Outcome{}, lastErr
}

func (txn Txn) encode(op string) (CommitRequest, error) {
	request := CommitRequest{Conditions: txn.Conditions, Deletes: txn.Deletes}
	for _, w := range txn.Writes {
		value, err := json.Marshal(w.Value)
		if err != nil {
			return request, oops.In("platform").Wrapf(err, "encode %s", w.Key)
		}
		wrapped, err := json.Marshal(envelope{Op: op, Value: value})
		if err != nil {
			return request, oops.In("platform").Wrapf(err, "encode %s", w.Key)
		}
		request.Puts = append(request.Puts, Put{Key: w.Key, Value: wrapped})
	}
	return request, nil
}

// resolve returns the outcome of a commit. If an earlier attempt's result is
// uncertain, a failed condition may be due to this operation's own write.
func (c *Client) resolve(ctx context.Context, op string, txn Txn, r CommitResponse, uncertain bool) (Outcome, error) {
	if r.Committed {
		return Outcome{Committed: true, Version: r.Version}, nil
	}
	if uncertain && len(txn.Writes) > 0 {
		version, own, err := c.findOwnWrite(ctx, op, txn.Writes[0].Key, r.Failed)
		if err != nil {
			return Outcome{}, err
		}
		if own {
			return Outcome{Committed: true, Version: version}, nil
		}
	}
	failed, err := unwrap(r.Failed)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{Failed: failed}, nil
}

func (c *Client) findOwnWrite(ctx context.Context, op, key string, failed []Row) (uint64, bool, error) {
	for _, row := range failed {
		if row.Key != key {
			continue
		}
		if row.Version == 0 {
			return 0, false, nil
		}
		var e envelope
		if err := json.Unmarshal(row.Value, &e); err != nil {
			return 0, false, unavailable("read back "+key, err)
		}
		return row.Version, e.Op == op, nil
	}
	return 0, false, nil
}

// Instances reads the platform's list of live and draining instances: all of them,
// or the endpoints of one data centre and all entry instances. It returns the
// list's version, and no instances if that is the given version.
func (c *Client) Instances(ctx context.Context, dc fleet.DataCentre, version uint64) ([]fleet.Instance, uint64, error) {
	var response InstancesResponse
	err := c.call(ctx, PathInstances, InstancesRequest{DataCentre: dc, Version: version}, &response)
	return response.Instances, response.Version, err
}

func (c *Client) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return oops.In("platform").Wrapf(err, "encode %s", path)
	}
	url := "http://" + c.options.Address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return oops.In("platform").Wrapf(err, "call %s", path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unavailable(path, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return unavailable(path, err)
	}
	if response.StatusCode != http.StatusOK {
		return unavailable(path, fmt.Errorf("status %d", response.StatusCode))
	}
	if err := json.Unmarshal(text, out); err != nil {
		return unavailable(path, err)
	}
	return nil
}

func unavailable(what string, err error) error {
	return oops.In("platform").Code("unavailable").Wrap(fmt.Errorf("%w: %s: %v", ErrUnavailable, what, err))
}

// pause waits for d. It returns false if the context is cancelled first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
