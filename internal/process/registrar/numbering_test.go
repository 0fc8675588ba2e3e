package registrar

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
)

func numbered(t *testing.T, n *Numbering, era, revision uint64) *List {
	t.Helper()
	l := &List{Era: era, Revision: revision}
	require.NoError(t, n.Number(l))
	return l
}

// While builds are mixed, an older build orders lists by a number that is the store's revision.
// If the lists of this build had other numbers although the store has lost nothing, the lists
// that an older build reads would be stale everywhere.
func TestNumberIsTheRevisionUntilTheStoreReturnsFromACopy(t *testing.T) {
	for _, era := range []uint64{0, 1, 7} {
		n := &Numbering{}
		require.EqualValues(t, 500, numbered(t, n, era, 500).Revision)
		require.NoError(t, n.Check(&List{Revision: 501}), "a list of an older build")
		require.EqualValues(t, 502, numbered(t, n, era, 502).Revision)
		require.Greater(t, numbered(t, n, era+1, 3).Revision, uint64(1)<<offsetShift)
		require.Error(t, n.Number(&List{Era: era, Revision: 900}), "an earlier era")
		if era > 0 {
			require.Error(t, n.Check(&List{Era: era, Revision: 900}))
		}
	}
}

// An instance that has started after the store returned from a copy numbers its lists like
// one that has seen the era before, once it has met a list of that one; also if that is a list
// of the earlier era, which it must not take for newer.
func TestNumberingsAgreeOnceTheyMeet(t *testing.T) {
	before, fresh := &Numbering{}, &Numbering{}
	old := numbered(t, before, 4, 500)
	list := numbered(t, fresh, 5, 460)
	require.Greater(t, old.Revision, list.Revision, "its own number says that the old list is newer")
	require.Error(t, fresh.Check(old))
	list = numbered(t, fresh, 5, 461)
	require.Greater(t, list.Revision, old.Revision)
	require.NoError(t, before.Check(list))
	require.Equal(t, list.Revision, numbered(t, before, 5, 461).Revision)

	late := &Numbering{}
	require.EqualValues(t, 462, numbered(t, late, 5, 462).Revision)
	require.NoError(t, late.Check(list))
	require.Equal(t, numbered(t, before, 5, 463).Revision, numbered(t, late, 5, 463).Revision)
}

// In whatever order instances start, number lists of rising eras and tell each other: of two
// lists that an instance numbers, the one of the later position has the higher number, and
// after all have met, all number alike.
func TestNumbersFollowPositions(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		era, revision := uint64(1+random.Intn(3)), uint64(10_000)
		instances := []*Numbering{{}, {}, {}, {}}
		lists := make([]*List, len(instances))
		for range 50 {
			k := random.Intn(len(instances))
			switch random.Intn(6) {
			case 0:
				era, revision = era+1, revision-uint64(random.Intn(30))
			case 1:
				instances[k], lists[k] = &Numbering{}, nil
			case 2, 3:
				if o := lists[random.Intn(len(lists))]; o != nil && instances[k].Check(o) == nil && (lists[k] == nil || o.Revision > lists[k].Revision) {
					lists[k] = o
				}
			default:
				revision++
				l := numbered(t, instances[k], era, revision)
				if lists[k] != nil {
					require.Greater(t, l.Revision, lists[k].Revision, "seed %d", seed)
				}
				lists[k] = l
			}
		}
		for range 2 {
			for _, n := range instances {
				for _, l := range lists {
					if l != nil {
						_ = n.Check(l)
					}
				}
			}
			for k, n := range instances {
				revision++
				lists[k] = numbered(t, n, era, revision)
			}
		}
		want := numbered(t, instances[0], era, revision).Revision
		for _, n := range instances {
			require.Equal(t, want, numbered(t, n, era, revision).Revision, "seed %d", seed)
		}
	}
}
