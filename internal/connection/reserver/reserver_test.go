package reserver

import (
	"math/rand"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a part that takes the room of the others, and against a denied
// reservation that stays counted.
func TestPartsShareTheirParent(t *testing.T) {
	all := New(100, nil)
	requests, ahead := New(80, all), New(40, all)
	require.False(t, requests.Take(81), "more than the part's limit")
	require.True(t, requests.Take(70))
	require.True(t, ahead.Take(30))
	require.False(t, ahead.Take(10), "the parent is full")
	require.True(t, all.Full())
	require.EqualValues(t, 30, ahead.Held())
	ahead.Force(10)
	require.EqualValues(t, 110, all.Held())
	ahead.Release(40)
	requests.Release(70)
	require.Zero(t, all.Held())
	require.Zero(t, ahead.Held())
}

// Guards against a limit that concurrent reservations exceed.
func TestConcurrentReservationsKeepTheLimit(t *testing.T) {
	all := New(1000, nil)
	part := New(600, all)
	var group sync.WaitGroup
	for k := range 8 {
		random := rand.New(rand.NewSource(int64(k)))
		group.Go(func() {
			for range 10000 {
				n := int64(random.Intn(300))
				if part.Take(n) {
					if held := part.Held(); held < n {
						t.Errorf("%d bytes are held after taking %d", held, n)
					}
					part.Release(n)
				}
			}
		})
	}
	group.Wait()
	require.Zero(t, part.Held())
	require.Zero(t, all.Held())
}
