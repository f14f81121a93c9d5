package platform_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ridgehinge/ridgehinge/internal/platform"
	"github.com/ridgehinge/ridgehinge/internal/standin/platformstandin"
)

func newTable(t *testing.T) (*platform.Client, *platformstandin.Server) {
	t.Helper()
	table := platformstandin.New()
	server := httptest.NewServer(table.Handler())
	t.Cleanup(server.Close)
	client := platform.New(platform.Options{Address: strings.TrimPrefix(server.URL, "http://"), Timeout: 5 * time.Second})
	t.Cleanup(client.Close)
	return client, table
}

func insert(key string, value any) platform.Txn {
	return platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	}
}

// A commit whose response is lost must take effect once and be reported as
// committed, with its version.
func TestCommit_LostResponse(t *testing.T) {
	client, table := newTable(t)
	ctx := context.Background()
	table.SetFaults(platformstandin.Faults{LoseAnswers: 1})
	outcome, err := client.Commit(ctx, insert("a", 1))
	require.NoError(t, err)
	assert.True(t, outcome.Committed)
	rows, err := client.Get(ctx, "a")
	require.NoError(t, err)
	assert.Equal(t, outcome.Version, rows[0].Version)
	assert.Equal(t, "1", string(rows[0].Value))
	assert.Equal(t, uint64(1), outcome.Version)
}

// Another client's commit of the same value must not be mistaken for the own one.
func TestCommit_ConflictIsNotOwnWrite(t *testing.T) {
	client, _ := newTable(t)
	ctx := context.Background()
	_, err := client.Commit(ctx, insert("a", 1))
	require.NoError(t, err)
	outcome, err := client.Commit(ctx, insert("a", 1))
	require.NoError(t, err)
	assert.False(t, outcome.Committed)
	require.Len(t, outcome.Failed, 1)
	assert.Equal(t, "1", string(outcome.Failed[0].Value))
}

func TestClient_StoreUnavailable(t *testing.T) {
	client, table := newTable(t)
	table.SetFaults(platformstandin.Faults{Down: true})
	_, err := client.Commit(context.Background(), insert("a", 1))
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = client.Get(context.Background(), "a")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestScan_ReturnsRowsByKey(t *testing.T) {
	client, _ := newTable(t)
	for _, key := range []string{"b/2", "a/1", "b/1"} {
		_, err := client.Commit(context.Background(), insert(key, key))
		require.NoError(t, err)
	}
	rows, err := client.Scan(context.Background(), "b/")
	require.NoError(t, err)
	require.Len(t, rows, 2)
	assert.Equal(t, "b/1", rows[0].Key)
}
