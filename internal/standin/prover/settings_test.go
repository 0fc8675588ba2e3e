package prover

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"oriolecourse.example/oriolecourse/internal/standin/starter"
)

// propagationLimit is the time within which a version must be in force at an instance.
const propagationLimit = 5 * time.Second

// observation is a settings version that was in force at an instance.
type observation struct {
	// address is the address of the instance for callers.
	address string
	version uint64
}

// observer records the settings versions of instances in the order of time until it is
// stopped.
type observer struct {
	mu           sync.Mutex
	observations []observation
	done         chan struct{}
	watchers     sync.WaitGroup
}

// startObserver starts an observer of the instances.
func startObserver(instances ...*starter.Instance) *observer {
	o := &observer{done: make(chan struct{})}
	for _, i := range instances {
		o.watchers.Go(func() { o.watch(i) })
	}
	return o
}

// watch polls one instance. The settings of a starting instance are not in force before it
// is ready. So watch records a version only if the same incarnation was ready before.
func (o *observer) watch(i *starter.Instance) {
	for {
		before, _ := i.Explain()
		_, status, err := starter.Call(http.MethodGet, i.Admin, "/healthz", "")
		ready := err == nil && status == http.StatusOK
		if e, ok := i.Explain(); ready && ok && e.Incarnation == before.Incarnation {
			o.mu.Lock()
			o.observations = append(o.observations, observation{i.Entry.Address.String(), e.Settings.Version})
			o.mu.Unlock()
		}
		select {
		case <-o.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop ends the observer and returns the observations.
func (o *observer) stop() []observation {
	close(o.done)
	o.watchers.Wait()
	return o.observations
}

// findReversions describes the observations of a version below an earlier version at the
// same address. Earlier processes at the address are included.
func findReversions(seen []observation) []string {
	var found []string
	highest := map[string]uint64{}
	for _, s := range seen {
		if s.version < highest[s.address] {
			found = append(found, fmt.Sprintf("%s reverted from version %d to %d", s.address, highest[s.address], s.version))
		}
		highest[s.address] = max(highest[s.address], s.version)
	}
	return found
}

// treeWithVersion returns the tree with another version.
func treeWithVersion(version int) string {
	return strings.Replace(tree, "version: 1", fmt.Sprintf("version: %d", version), 1)
}

// awaitVersion waits until the version is in force at each of the instances.
func awaitVersion(t *testing.T, version uint64, instances ...*starter.Instance) {
	t.Helper()
	for _, i := range instances {
		took := starter.Eventually(t, propagationLimit, fmt.Sprintf("version %d at %s", version, i.Name), func() bool {
			e, ok := i.Explain()
			return ok && e.Settings.Version == version
		})
		t.Logf("version %d in force at %s after %s", version, i.Name, took)
	}
}

// restartUnderStalePlatform publishes a version and then an older and an invalid one, as
// racing operators do. It makes the platform serve version 1 again and restarts an instance.
// If isolated, the other instances are killed first, so that the restarted instance has no
// peers. It returns the observations of all instances.
func restartUnderStalePlatform(t *testing.T, isolated bool) []observation {
	t.Helper()
	f := newFleet(t, 3)
	o := startObserver(f.Instances...)
	f.PublishSettings(t, treeWithVersion(5))
	awaitVersion(t, 5, f.Instances...)
	f.PublishSettings(t, treeWithVersion(4))
	f.PublishSettings(t, strings.Replace(treeWithVersion(6), "window: 4s", "window: 4 apples", 1))
	time.Sleep(time.Second)
	awaitVersion(t, 5, f.Instances...)
	f.InjectFault(t, f.Platform, "stale", "1")
	if isolated {
		f.Instances[0].Kill()
		f.Instances[1].Kill()
	}
	f.Instances[2].Kill()
	f.Restart(t, 2)
	f.AwaitInstance(t, f.Instances[2])
	time.Sleep(time.Second)
	if !isolated {
		f.ClearFault(t, f.Platform, "stale")
		f.PublishSettings(t, treeWithVersion(7))
		awaitVersion(t, 7, f.Instances...)
	}
	return o.stop()
}

// TestSettingsNeverRevert guards against settings that go back to an older version: a
// restarted instance reads an old version from a stale platform while its peers have a
// newer one.
func TestSettingsNeverRevert(t *testing.T) {
	if found := findReversions(restartUnderStalePlatform(t, false)); len(found) > 0 {
		t.Errorf("%d reversions, the first: %s", len(found), found[0])
	}
}

// TestRevertCheckRejectsInstanceWithoutPeers guards against a check that detects nothing. A
// restarted instance without peers can only read the old version from the platform.
func TestRevertCheckRejectsInstanceWithoutPeers(t *testing.T) {
	if found := findReversions(restartUnderStalePlatform(t, true)); len(found) == 0 {
		t.Error("the check found no reversion at an instance without peers and with a stale platform")
	}
}

// TestNewInstanceGetsSettingsWhilePlatformIsDown guards against a new instance that depends
// on the platform: it must get the settings from its peers.
func TestNewInstanceGetsSettingsWhilePlatformIsDown(t *testing.T) {
	f := newFleet(t, 3)
	f.PublishSettings(t, treeWithVersion(2))
	awaitVersion(t, 2, f.Instances...)
	f.InjectFault(t, f.Platform, "down", "")
	added := f.AddInstance(t)
	awaitVersion(t, 2, added)
}
