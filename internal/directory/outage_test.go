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

// maxConfigurationDelay is how long after the store recovers, or after a call whose response is
// lost, a node may use an older configuration.
const maxConfigurationDelay = 2500 * time.Millisecond

const (
	testTable = "configurations"
	testKey   = "newest"
)

// writeConfiguration writes a configuration past the store's faults.
func writeConfiguration(t *testing.T, store *memtable.Table, version uint64) {
	t.Helper()
	value, err := json.Marshal(serving.Configuration{Version: version})
	require.NoError(t, err)
	require.NoError(t, store.CommitIgnoringFaults(table.Change{Writes: []table.Row{{Table: testTable, Key: testKey, Value: value}}}))
}

// runWatcher runs a configuration watcher and then the test, both with a fake clock. The directory
// has the first configuration.
func runWatcher(t *testing.T, store table.Store, tables *memtable.Table, role WatchRole, test func(t *testing.T, d *Directory)) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Codec{
			Configuration: func(value []byte) (*serving.Configuration, error) {
				c := &serving.Configuration{}
				return c, json.Unmarshal(value, c)
			},
			ConfigurationTable: testTable,
			ConfigurationKey:   testKey,
		})
		writeConfiguration(t, tables, 1)
		ctx, cancel := context.WithCancel(t.Context())
		w := &Watcher{Store: store, Directory: d, Options: DefaultWatchOptions(), Role: func() WatchRole { return role }}
		go w.configuration().run(ctx)
		synctest.Wait()
		require.EqualValues(t, 1, configurationVersion(d))
		test(t, d)
		cancel()
		synctest.Wait()
	})
}

func configurationVersion(d *Directory) uint64 {
	version, _ := d.Configuration()
	return version
}

// A watch sent during an outage never gets a response, and a node with a long timeout kept an old
// configuration for seconds after the store was back. The length of the outage and the phase of
// the watch must not matter.
func TestWatcher_AppliesConfigurationAfterOutage(t *testing.T) {
	const phases, step = 36, 200 * time.Millisecond
	for _, role := range []WatchRole{{Configuration: true}, {Configuration: true, Endpoints: true}} {
		for _, outage := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 6 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprintf("%s, reads endpoints %v", outage, role.Endpoints), func(t *testing.T) {
				for phase := range phases {
					store := memtable.New()
					runWatcher(t, store, store, role, func(t *testing.T, d *Directory) {
						time.Sleep(time.Duration(phase) * step)
						store.SetFaults(memtable.Faults{Silent: true})
						time.Sleep(outage)
						store.SetFaults(memtable.Faults{})
						writeConfiguration(t, store, 2)
						time.Sleep(maxConfigurationDelay)
						synctest.Wait()
						require.EqualValues(t, 2, configurationVersion(d), "the outage began %s after the start", time.Duration(phase)*step)
					})
				}
			})
		}
	}
}

// lossyStore never responds to the watch at which its countdown reaches zero.
type lossyStore struct {
	*memtable.Table
	countdown int
}

// Watch implements table.Store.
func (s *lossyStore) Watch(ctx context.Context, name string, since uint64, wait time.Duration) (table.Page, error) {
	if s.countdown--; s.countdown == 0 {
		<-ctx.Done()
		return table.Page{}, table.ErrUnknown
	}
	return s.Table.Watch(ctx, name, since, wait)
}

// A lost response of an available store has the same effect as an outage.
func TestWatcher_RecoversFromLostAnswer(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		store := &lossyStore{Table: memtable.New(), countdown: lost}
		runWatcher(t, store, store.Table, WatchRole{Configuration: true}, func(t *testing.T, d *Directory) {
			for version := uint64(2); version < 12; version++ {
				writeConfiguration(t, store.Table, version)
				time.Sleep(maxConfigurationDelay)
				synctest.Wait()
				require.Equal(t, version, configurationVersion(d), "watch %d was lost", lost)
			}
		})
	}
}
