// Package prover tests guarantees of the load balancer with separate processes.
//
// Each test checks what the targets and the callers recorded during a scenario, which is a
// load on a fleet with faults. A second test runs the same check on a variant of the
// scenario that breaks the guarantee. The check must reject the variant, so that a check
// that accepts everything is detected.
package prover

import (
	"os"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

func TestMain(m *testing.M) { os.Exit(starter.Main(m)) }

// tree is a settings tree with short times, which keep the scenarios short.
const tree = `
version: 1
settings: {fleet: 8, keep: 1s, epoch: 5s, forget: 20s}
places:
  himal:
    settings: {slots: 2, connections: 250, window: 4s, timeout: 500ms}
    services:
      parts:
        settings: {probes: 16, queue: 256}
        kinds:
          lookup: {priority: urgent, deadline: 5s, wait: 4s}
          confirm: {once: true, deadline: 5s, wait: 4s}
`

// newFleet starts a fleet with 4 targets.
func newFleet(t *testing.T, instances int) *starter.Fleet {
	t.Helper()
	return starter.NewFleet(t, starter.Config{
		Tree: tree, Place: "himal", Service: "parts", Targets: 4, Instances: instances,
	})
}

// mixedLoad returns a load of idempotent and at-most-once requests for the instances.
func mixedLoad(name string, d time.Duration, instances ...*starter.Instance) loader.Settings {
	return loader.Settings{
		Instances: starter.CallerAddresses(instances...), IDPrefix: name, Seed: 1, Callers: 4,
		Duration: d, RequestTimeout: 20 * time.Second, MaxAttempts: 20,
		KindLoads: []loader.KindLoad{
			{Service: "parts", Kind: "lookup", Rate: 60, ResponseSize: 300},
			{Service: "parts", Kind: "confirm", Rate: 20, ResponseSize: 100, AtMostOnce: true},
		},
	}
}
