package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/standin/memtable"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// inForceBound is how long after the store answers again, or after a call that it will
// never answer, a node may act on an older configuration. Users count on a node three
// seconds after its store is back.
const inForceBound = 2500 * time.Millisecond

const (
	testTable = "configurations"
	testKey   = "newest"
)

// write has the operator write a configuration, whatever the store's faults are.
func write(t *testing.T, store *memtable.Table, version uint64) {
	t.Helper()
	value, err := json.Marshal(serving.Configuration{Version: version})
	require.NoError(t, err)
	require.NoError(t, store.Force(table.Change{Writes: []table.Row{{Table: testTable, Key: testKey, Value: value}}}))
}

// follow runs a watcher of the configuration in a bubble with a clock of its own, and
// then the test; the directory has the first configuration.
func follow(t *testing.T, store table.Store, tables *memtable.Table, duty WatchRole, test func(t *testing.T, d *Directory)) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Codec{
			Configuration: func(value []byte) (*serving.Configuration, error) {
				c := &serving.Configuration{}
				return c, json.Unmarshal(value, c)
			},
			ConfigurationTable: testTable,
			ConfigurationKey:   testKey,
		})
		write(t, tables, 1)
		ctx, cancel := context.WithCancel(t.Context())
		w := &Watcher{Store: store, Directory: d, Options: DefaultWatchOptions(), Role: func() WatchRole { return duty }}
		go w.configuration().run(ctx)
		synctest.Wait()
		require.EqualValues(t, 1, versionOf(d))
		test(t, d)
		cancel()
		synctest.Wait()
	})
}

func versionOf(d *Directory) uint64 {
	version, _ := d.Configuration()
	return version
}

// Users saw a route that had been confirmed 2.8 s before answered with 404, by all nodes
// of three data centres. The store had been silent for nine seconds. Each node's watch
// of the configuration was sent into the outage, the store never answered it, and the
// node waited seven seconds for it, nearly five of them after the store had answered its
// other calls again. Evidence: all nodes took eight versions in the same 25 ms, 7.02 s
// after the watch began, while no call failed. How long an outage lasts and where in it
// a watch begins must not matter.
func TestConfigurationsAreInForceSoonAfterAnOutage(t *testing.T) {
	const phases, step = 36, 200 * time.Millisecond
	for _, duty := range []WatchRole{{Configuration: true}, {Configuration: true, Endpoints: true}} {
		for _, outage := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprintf("%s, reads endpoints %v", outage, duty.Endpoints), func(t *testing.T) {
				for phase := range phases {
					store := memtable.New()
					follow(t, store, store, duty, func(t *testing.T, d *Directory) {
						time.Sleep(time.Duration(phase) * step)
						store.SetFaults(memtable.Faults{Silent: true})
						time.Sleep(outage)
						store.SetFaults(memtable.Faults{})
						write(t, store, 2)
						time.Sleep(inForceBound)
						synctest.Wait()
						require.EqualValues(t, 2, versionOf(d), "the outage began %s after the start", time.Duration(phase)*step)
					})
				}
			})
		}
	}
}

// deafOnce never answers one watch, and all others well.
type deafOnce struct {
	*memtable.Table
	left int
}

// Watch implements table.Store.
func (s *deafOnce) Watch(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error) {
	if s.left--; s.left == 0 {
		<-ctx.Done()
		return table.Page{}, table.ErrUnknown
	}
	return s.Table.Watch(ctx, name, since, wait)
}

// One answer that is lost while the store is well hides all changes in the same way.
func TestAConfigurationIsInForceThoughAWatchIsNeverAnswered(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		store := &deafOnce{Table: memtable.New(), left: lost}
		follow(t, store, store.Table, WatchRole{Configuration: true}, func(t *testing.T, d *Directory) {
			for version := uint64(2); version < 12; version++ {
				write(t, store.Table, version)
				time.Sleep(inForceBound)
				synctest.Wait()
				require.Equal(t, version, versionOf(d), "watch %d was lost", lost)
			}
		})
	}
}
