// Package prover proves promises of the system on separate processes.
//
// Each proof is a checker over what the targets and the callers recorded. The
// same checker runs over a broken variant of the scene and must reject it.
package prover

import (
	"os"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/loader"
	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

func TestMain(m *testing.M) { os.Exit(starter.Main(m)) }

// tree has short times, so that the scenes are short.
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

// scene returns a fleet of the tests' size.
func scene(t *testing.T, instances int) *starter.Fleet {
	t.Helper()
	return starter.NewFleet(t, starter.Config{
		Tree: tree, Place: "himal", Service: "parts", Targets: 4, Instances: instances,
	})
}

// load returns a mixed load on some instances.
func load(name string, d time.Duration, instances ...*starter.Instance) loader.Settings {
	return loader.Settings{
		Instances: starter.Callers(instances...), IDPrefix: name, Seed: 1, Callers: 4,
		Duration: d, RequestTimeout: 20 * time.Second, MaxAttempts: 20,
		KindLoads: []loader.KindLoad{
			{Service: "parts", Kind: "lookup", Rate: 60, ResponseSize: 300},
			{Service: "parts", Kind: "confirm", Rate: 20, ResponseSize: 100, AtMostOnce: true},
		},
	}
}
