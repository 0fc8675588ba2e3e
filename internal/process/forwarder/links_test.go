package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/registrar"
)

// Guards against an instance that goes through all targets four times a second to find out
// whom a check of the links would contact, while no check is due.
func TestLinksInOrderCostNothing(t *testing.T) {
	const targets = 266
	f, _ := warmupFixture(t, Options{}, 0)
	now := time.Now()
	f.SetTargets(map[string][]registrar.UsableRun{"parts": manyRuns(targets)}, now)
	s := f.service("parts")
	require.Zero(t, testing.AllocsPerRun(10, func() { s.checkLinks(now) }))
}
