package notices

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ridgehinge/ridgehinge/internal/peers"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
)

// follow keeps a stream to a node open until the context is cancelled.
func (x *Exchange) follow(ctx context.Context, address string) {
	pause := minRetryPause
	for ctx.Err() == nil {
		heard, err := x.followOnce(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if heard {
			pause = minRetryPause
			x.log.Info("a followed node's stream of notices has ended; opening it again", "address", address, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// followOnce opens a stream and exchanges notices until it ends. It reports whether the node sent any.
func (x *Exchange) followOnce(ctx context.Context, address string) (heard bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := x.options.Client.Follow(ctx, address)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	silence := time.AfterFunc(silenceTimeout, stream.Close)
	defer silence.Stop()
	if err := stream.Send(x.hello()); err != nil {
		return false, err
	}
	sent := make(chan error, 1)
	go func() { sent <- x.send(ctx, stream, &cursor{follows: true}) }()
	err = x.receive(stream, address, func() {
		silence.Reset(silenceTimeout)
		if !heard {
			heard = true
			x.addLive(1)
		}
	})
	if heard {
		x.addLive(-1)
	}
	cancel()
	stream.Close()
	return heard, errors.Join(err, <-sent)
}

func (x *Exchange) addLive(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.live += n
	x.heard = true
}

// Follow serves a stream that another node has opened.
func (x *Exchange) Follow(stream peers.NoticeStream) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	received := make(chan error, 1)
	go func() {
		received <- x.receive(stream, "", func() {})
		cancel()
	}()
	c := &cursor{}
	var first *sharepb.Notices
	first, c.rows = x.missedRows(hello.GetEndpointsVersion())
	if err = stream.Send(first); err == nil {
		err = x.send(ctx, stream, c)
	}
	return errors.Join(err, <-received)
}

// receive applies what arrives on a stream until it ends. address is that of a followed node.
func (x *Exchange) receive(stream peers.NoticeStream, address string, onMessage func()) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		onMessage()
		x.apply(m, address, time.Now())
	}
}

// send sends what is new, and heartbeats to a follower, until the context is cancelled.
func (x *Exchange) send(ctx context.Context, stream peers.NoticeStream, c *cursor) error {
	for {
		// The wait starts before the look at what is new, so that no change in between is missed.
		changed := x.changed.wait()
		now := time.Now()
		m, more := x.collect(c, now)
		if !isEmpty(m) || c.needsHeartbeat(now) {
			if err := stream.Send(m); err != nil {
				return err
			}
			c.sentAt = now
		}
		if err := awaitNext(ctx, changed, more, c); err != nil {
			return err
		}
	}
}

// needsHeartbeat reports whether a message without notices is due. Only followed nodes send those: at a
// follower's end the kernel closes connections whose data is not acknowledged.
func (c *cursor) needsHeartbeat(now time.Time) bool {
	return !c.follows && now.Sub(c.sentAt) >= heartbeatInterval
}

// awaitNext waits until the next message may be due.
func awaitNext(ctx context.Context, changed <-chan struct{}, more bool, c *cursor) error {
	if err := sleep(ctx, minSendInterval); err != nil || more {
		return err
	}
	var heartbeat <-chan time.Time
	if !c.follows {
		timer := time.NewTimer(time.Until(c.sentAt.Add(heartbeatInterval)))
		defer timer.Stop()
		heartbeat = timer.C
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-heartbeat:
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
