// Package claims runs the at-most-once claims of a node against the
// platform's table, many in one transaction.
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
	// Window is how long a claim may wait for others to share its
	// transaction.
	Window time.Duration
	// MaxBatch is the maximum number of claims in one transaction.
	MaxBatch int
	// Timeout bounds one claim.
	Timeout time.Duration
}

const (
	settleTries = 6
	settlePause = time.Second
)

// Store makes claims. Close it after use.
type Store struct {
	options Options
	log     logging.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	batcher *claim.Batcher
	waiting map[string]chan answer
	wake    chan struct{}
}

type answer struct {
	result  claim.Result
	row     claim.Row
	version uint64
}

// Grant is a claim that was granted.
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
		waiting: map[string]chan answer{},
		wake:    make(chan struct{}, 1),
	}
	s.running.Add(1)
	go s.run()
	return s
}

// Close stops the store and waits for what is under way.
func (s *Store) Close() {
	s.cancel()
	s.running.Wait()
}

// Claim tries to claim a key. When the result is not ResultGranted the
// request must not run; ResultTaken comes with the earlier claim's row.
func (s *Store) Claim(ctx context.Context, workspace, key string) (Grant, claim.Row, claim.Result) {
	now := time.Now()
	row := claim.Row{State: claim.StateClaimed, Node: s.options.Node, Attempt: xid.New().String(), Made: now.Unix()}
	c := claim.Claim{Key: claim.Key(workspace, key), Row: row}
	reply := make(chan answer, 1)
	s.mu.Lock()
	s.waiting[row.Attempt] = reply
	s.batcher.Add(now, c)
	s.mu.Unlock()
	s.nudge()
	timer := time.NewTimer(s.options.Timeout)
	defer timer.Stop()
	select {
	case a := <-reply:
		return Grant{c.Key, row, a.version}, a.row, a.result
	case <-timer.C:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	s.giveUp(c)
	return Grant{}, claim.Row{}, claim.ResultUnavailable
}

// giveUp withdraws a claim whose answer nobody waits for any more.
func (s *Store) giveUp(c claim.Claim) {
	s.mu.Lock()
	delete(s.waiting, c.Row.Attempt)
	s.mu.Unlock()
	s.background(func() { s.settle(c) })
}

func (s *Store) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// background runs work that Close waits for.
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

// flush commits one batch. Claims that were taken before are answered, and
// the rest goes into the next transaction.
func (s *Store) flush() {
	s.mu.Lock()
	batch := s.batcher.Take(time.Now())
	s.mu.Unlock()
	left := batch.Claims
	for len(left) > 0 {
		left = s.commit(left)
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
			s.answer(c, answer{result: claim.ResultUnavailable})
			s.background(func() { s.settle(c) })
		}
		return nil
	}
	if outcome.Committed {
		for _, c := range list {
			s.answer(c, answer{result: claim.ResultGranted, version: outcome.Version})
		}
		return nil
	}
	return s.answerTaken(list, outcome.Failed)
}

// answerTaken answers the claims whose row was there and returns the others.
func (s *Store) answerTaken(list []claim.Claim, failed []platform.Row) []claim.Claim {
	taken := map[string]platform.Row{}
	for _, row := range failed {
		taken[row.Key] = row
	}
	var left []claim.Claim
	for _, c := range list {
		row, ok := taken[c.Key]
		if !ok {
			left = append(left, c)
			continue
		}
		a := answer{result: claim.ResultTaken, version: row.Version}
		_ = json.Unmarshal(row.Value, &a.row)
		s.answer(c, a)
	}
	if len(left) == len(list) {
		// The table refused without naming a row that we asked about.
		for _, c := range left {
			s.answer(c, answer{result: claim.ResultUnavailable})
		}
		return nil
	}
	return left
}

// answer tells the waiting caller. A grant that nobody waits for any more is
// withdrawn: its request was refused meanwhile.
func (s *Store) answer(c claim.Claim, a answer) {
	s.mu.Lock()
	reply, ok := s.waiting[c.Row.Attempt]
	delete(s.waiting, c.Row.Attempt)
	s.mu.Unlock()
	if ok {
		reply <- a
		return
	}
	if a.result == claim.ResultGranted {
		s.Release(Grant{c.Key, c.Row, a.version})
	}
}

// settle finds out whether a claim without an answer took effect, and
// withdraws it if so: its request was refused as not run, and the caller may
// come back with the same key.
func (s *Store) settle(c claim.Claim) {
	for range settleTries {
		rows, err := s.options.Table.Get(s.ctx, c.Key)
		if err == nil {
			var row claim.Row
			if rows[0].Version == 0 || json.Unmarshal(rows[0].Value, &row) != nil || row.Attempt != c.Row.Attempt {
				return
			}
			s.deleteRow(Grant{c.Key, c.Row, rows[0].Version})
			return
		}
		if !s.pause() {
			return
		}
	}
}

func (s *Store) pause() bool {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// Release withdraws a claim whose request certainly did not run.
func (s *Store) Release(h Grant) {
	s.background(func() { s.deleteRow(h) })
}

func (s *Store) deleteRow(h Grant) {
	ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout)
	defer cancel()
	_, err := s.options.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: h.Key, Version: h.version}},
		Deletes:    []string{h.Key},
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		s.log.Warn("a claim could not be withdrawn", "key", h.Key)
	}
}

// MarkRan records that the request ran, so that a retry is told so.
func (s *Store) MarkRan(h Grant) {
	row := h.row
	row.State = claim.StateRan
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.options.Timeout)
		defer cancel()
		_, _ = s.options.Table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: h.Key, Version: h.version}},
			Writes:     []platform.Write{{Key: h.Key, Value: row}},
		})
	})
}
