package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// daemon is the program under test.
var daemon string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(dir, "ridgehinged")
	args := []string{"build", "-o", daemon}
	if os.Getenv("RIDGEHINGE_RACE") != "" {
		args = append(args, "-race")
	}
	if text, err := exec.Command("go", append(args, "github.com/ridgehinge/ridgehinge/cmd/ridgehinged")...).CombinedOutput(); err != nil {
		fmt.Println(string(text))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// regressions are the seeds that ever failed, each with its cause.
var regressions = map[uint64]string{}

// TestSoak plays a few seeds; SOAK_SEED and SOAK_COUNT play others.
func TestSoak(t *testing.T) {
	first, count := uint64(1), 2
	if text := os.Getenv("SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		first, count = seed, 1
	}
	if text := os.Getenv("SOAK_COUNT"); text != "" {
		var err error
		count, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, seed) })
	}
}

// size is how large a run is: every eighth has many processes.
func size(seed uint64) (entries, workers int) {
	if seed%8 == 0 {
		return 9, 12
	}
	return 2, 5
}

// outage is longer than a watch of the configuration takes, so that one is sent into it.
const outage = 4 * time.Second

// watched is for how long calm is watched after the faults: the bounds have a grace of three
// seconds, and a request that ends endpoints needs three of them before it must be known.
const watched = 12 * time.Second

func play(t *testing.T, seed uint64) {
	entries, workers := size(seed)
	r, err := Start(Options{
		Seed: seed, Daemon: daemon, Dir: t.TempDir(), Entries: entries, Workers: workers, Callers: 8,
		Steps: 24, StepPause: 250 * time.Millisecond,
	})
	require.NoError(t, err)
	defer r.Close()
	defer func() {
		if t.Failed() {
			keepLogs(t, r, seed)
		}
	}()
	require.NoError(t, r.Calm())
	ctx, cancel := context.WithCancel(t.Context())
	var calling sync.WaitGroup
	calling.Go(func() { r.Call(ctx) })
	r.Herd()
	require.NoError(t, r.Calm())
	calling.Go(func() { r.CallPoison(ctx) })
	r.Faults()
	calm := r.Calm()
	r.Watch(watched)
	took, unconfigured := r.ConfiguredAfterSilence(outage)
	tookAfterCopy, lost := r.ConfiguredAfterCopy(outage / 2)
	cancel()
	calling.Wait()
	t.Logf("answers: %v; a configuration was in force everywhere %s after an outage and %s after an older copy of the store", r.Counts(), took, tookAfterCopy)
	require.NoError(t, calm)
	require.NoError(t, unconfigured)
	require.NoError(t, lost)
	require.Empty(t, r.Broken())
	require.NoError(t, r.CheckLogs())
	require.Positive(t, r.Counts()["200"])
}

// keepLogs copies the logs of a failed run to where SOAK_KEEP says.
func keepLogs(t *testing.T, r *Run, seed uint64) {
	dir := os.Getenv("SOAK_KEEP")
	if dir == "" {
		return
	}
	for _, p := range r.entries {
		text, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue
		}
		name := filepath.Join(dir, fmt.Sprintf("seed-%d-%s.log", seed, p.name))
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Logf("keep %s: %v", name, err)
		}
	}
}
