// Package claims writes a node's at-most-once claims to the platform's table,
// in batches.
package claims

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rs/xid"

	"github.com/ridgehinge/ridgehinge/internal/logging"
	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/pkg/claim"
)

// Options of a Store.
type Options struct {
	Node  string
	Table *platform.Client
	// Window is the maximum time that a claim waits for others to be
	// committed in the same transaction.
	Window time.Duration
	// MaxBatch is the maximum number of claims in one transaction.
	MaxBatch int
	// Timeout bounds one claim.
	Timeout time.Duration
}

const (
	cleanupAttempts   = 6
	cleanupRetryDelay = time.Second
)

// Store commits claims. Close it after use.
type Store struct {
	options Options
	log     logging.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	batcher *claim.Batcher
	replies map[string]chan claimResult
	wake    chan struct{}
}

type claimResult struct {
	result  claim.Result
	row     claim.Row
	version uint64
}

// Grant is a granted claim.
type Grant struct {
	Key     string
	row     claim.Row
	version uint64
}

// New starts a store.
func New(options Options) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		options: options,
		log:     logging.For("claims").With("node", options.Node),
		ctx:     ctx,
		cancel:  cancel,
		batcher: claim.NewBatcher(options.Window, options.MaxBatch),
		replies: map[string]chan claimResult{},
		wake:    make(chan struct{}, 1),
	}
	s.running.Add(1)
	go s.run()
	return s
}

// Close stops the store and waits for its goroutines.
func (s *Store) Close() {
	s.cancel()
	s.running.Wait()
}

// Claim tries to claim a key. Unless the result is ResultGranted the request
// must not run. With ResultTaken the row is that of the earlier claim.
func (s *Store) Claim(ctx context.Context, workspace, key string) (Grant, claim.Row, claim.Result) {
	now := time.Now()
	row := claim.Row{State: claim.StateClaimed, Node: s.options.Node, Attempt: xid.New().String(), Made: now.Unix()}
	c := claim.Claim{Key: claim.Key(workspace, key), Row: row}
	reply := make(chan claimResult, 1)
	s.mu.Lock()
	s.replies[row.Attempt] = reply
	s.batcher.Add(now, c)
	s.mu.Unlock()
	s.wakeUp()
	timer := time.NewTimer(s.options.Timeout)
	defer timer.Stop()
	select {
	case a := <-reply:
		return Grant{c.Key, row, a.version}, a.row, a.result
	case <-timer.C:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	s.withdraw(c)
	return Grant{}, claim.Row{}, claim.ResultUnavailable
}

// withdraw removes a claim whose caller no longer waits.
func (s *Store) withdraw(c claim.Claim) {
	s.mu.Lock()
	delete(s.replies, c.Row.Attempt)
	s.mu.Unlock()
	s.background(func() { s.deleteIfWritten(c) })
}

func (s *Store) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// background runs work in a goroutine that Close waits for.
func (s *Store) background(work func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		work()
	}()
}

func (s *Store) run() {
	defer s.running.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.mu.Lock()
		at, due := s.batcher.Due()
		s.mu.Unlock()
		wait := time.Hour
		if due {
			wait = time.Until(at)
		}
		if due && wait <= 0 {
			s.flush()
			continue
		}
		timer.Reset(wait)
		select {
		case <-s.wake:
		case <-timer.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// flush commits one batch. If some keys are already claimed, it reports those
// claims as taken and commits the rest in another transaction.
func (s *Store) flush() {
	s.mu.Lock()
	batch := s.batcher.Take(time.Now())
	s.mu.Unlock()
	remaining := batch.Claims
	for len(remaining) > 0 {
		remaining = s.commit(remaining)
	}
	s.mu.Lock()
	s.batcher.Done()
	s.mu.Unlock()
}

func (s *Store) commit(list []claim.Claim) []claim.Claim {
	txn := platform.Txn{}
	for _, c := range list {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: c.Key})
		txn.Writes = append(txn.Writes, platform.Write{Key: c.Key, Value: c.Row})
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout)
	defer cancel()
	outcome, err := s.options.Table.Commit(ctx, txn)
	if err != nil {
		for _, c := range list {
			s.deliver(c, claimResult{result: claim.ResultUnavailable})
			s.background(func() { s.deleteIfWritten(c) })
		}
		return nil
	}
	if outcome.Committed {
		for _, c := range list {
			s.deliver(c, claimResult{result: claim.ResultGranted, version: outcome.Version})
		}
		return nil
	}
	return s.deliverTaken(list, outcome.Failed)
}

// deliverTaken reports the claims whose row existed as taken and returns the
// others.
func (s *Store) deliverTaken(list []claim.Claim, failed []platform.Row) []claim.Claim {
	taken := map[string]platform.Row{}
	for _, row := range failed {
		taken[row.Key] = row
	}
	var remaining []claim.Claim
	for _, c := range list {
		row, ok := taken[c.Key]
		if !ok {
			remaining = append(remaining, c)
			continue
		}
		a := claimResult{result: claim.ResultTaken, version: row.Version}
		_ = json.Unmarshal(row.Value, &a.row)
		s.deliver(c, a)
	}
	if len(remaining) == len(list) {
		// The table rejected the transaction without naming one of its rows.
		for _, c := range remaining {
			s.deliver(c, claimResult{result: claim.ResultUnavailable})
		}
		return nil
	}
	return remaining
}

// deliver passes the result to the waiting caller. A grant without one is
// released, because its request has been rejected.
func (s *Store) deliver(c claim.Claim, a claimResult) {
	s.mu.Lock()
	reply, ok := s.replies[c.Row.Attempt]
	delete(s.replies, c.Row.Attempt)
	s.mu.Unlock()
	if ok {
		reply <- a
		return
	}
	if a.result == claim.ResultGranted {
		s.Release(Grant{c.Key, c.Row, a.version})
	}
}

// deleteIfWritten checks whether a claim without a response was written, and
// deletes it if so: its request was rejected as not run, and the caller may
// retry with the same key.
func (s *Store) deleteIfWritten(c claim.Claim) {
	for range cleanupAttempts {
		rows, err := s.options.Table.Get(s.ctx, c.Key)
		if err == nil {
			var row claim.Row
			if rows[0].Version == 0 || json.Unmarshal(rows[0].Value, &row) != nil || row.Attempt != c.Row.Attempt {
				return
			}
			s.deleteRow(Grant{c.Key, c.Row, rows[0].Version})
			return
		}
		if !s.waitBeforeRetry() {
			return
		}
	}
}

func (s *Store) waitBeforeRetry() bool {
	timer := time.NewTimer(cleanupRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// Release deletes a claim whose request did not run.
func (s *Store) Release(grant Grant) {
	s.background(func() { s.deleteRow(grant) })
}

func (s *Store) deleteRow(grant Grant) {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout)
	defer cancel()
	_, err := s.options.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: grant.Key, Version: grant.version}},
		Deletes:    []string{grant.Key},
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		s.log.Warn("cannot delete the row of a claim", "key", grant.Key)
	}
}

// MarkRan records that the request ran, so that a retry gets that outcome.
func (s *Store) MarkRan(grant Grant) {
	row := grant.row
	row.State = claim.StateRan
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout)
		defer cancel()
		_, _ = s.options.Table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: grant.Key, Version: grant.version}},
			Writes:     []platform.Write{{Key: grant.Key, Value: row}},
		})
	})
}
