package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// warmupEnd returns the end of the warm-up of the only usable run.
func warmupEnd(t *testing.T, r *Registrar) time.Time {
	t.Helper()
	require.Len(t, r.Usable()["s"], 1)
	return r.Usable()["s"][0].WarmupEnd
}

func coldRun(left time.Duration) Run {
	x := run("a", 1, false)
	x.WarmupLeft = left
	return x
}

// A target that becomes cold again while it runs crashes if it gets its usual share: its
// entry says so by a time that has risen. The same entry, read again with each change of
// another one, must not keep a target cold for ever.
func TestWarmupFollowsAnEntryThatRises(t *testing.T) {
	r, now := New(nil), time.Unix(100, 0)
	revision := uint64(0)
	apply := func(left time.Duration) time.Time {
		revision++
		r.Apply(&List{Revision: revision, Runs: []Run{coldRun(left)}}, now)
		return warmupEnd(t, r)
	}
	first := now.Add(3 * time.Second)
	require.Equal(t, first, apply(3*time.Second))
	now = now.Add(2 * time.Second)
	require.Equal(t, first, apply(3*time.Second), "the same entry read again")
	require.Equal(t, first, apply(time.Second), "a falling time is the same warm-up")
	now = now.Add(8 * time.Second)
	require.Equal(t, first, apply(0))
	require.Equal(t, now.Add(3*time.Second), apply(3*time.Second), "cold again")
	require.Equal(t, now.Add(4*time.Second), apply(4*time.Second))
}

// A target that says in its responses that it is cold, or warm, knows better than its entry.
func TestWarmupFollowsTheRunItself(t *testing.T) {
	r, now := New(nil), time.Unix(100, 0)
	require.False(t, r.RecordWarmup("a/1", time.Second, now), "an unknown run")
	r.Apply(&List{Revision: 1, Runs: []Run{coldRun(0)}}, now)
	require.False(t, r.RecordWarmup("a/1", 0, now.Add(time.Minute)), "warm as before")
	now = now.Add(2 * time.Minute)
	require.True(t, r.RecordWarmup("a/1", 3*time.Second, now))
	require.Equal(t, now.Add(3*time.Second), warmupEnd(t, r))
	require.False(t, r.RecordWarmup("a/1", 2*time.Second, now.Add(time.Second+warmupTolerance/2)), "the same end")
	r.Apply(&List{Revision: 2, Runs: []Run{coldRun(0)}}, now)
	require.Equal(t, now.Add(3*time.Second), warmupEnd(t, r), "an entry that says nothing")
	now = now.Add(time.Second)
	require.True(t, r.RecordWarmup("a/1", 0, now), "warm before its time")
	require.Equal(t, now, warmupEnd(t, r))
}
