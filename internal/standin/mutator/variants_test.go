package mutator

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runVariantsEnv is the environment variable that enables the runs of the tests on their
// broken variants. The runs take minutes.
const runVariantsEnv = "ORIOLE_BROKEN"

// variant is a broken variant of the program that a test in a directory must detect.
type variant struct {
	test, directory string
	edits           []Edit
}

// variants lists, for each test, the edits that break the guarantee it checks.
var variants = []variant{
	{"TestProbesKeepTheShare", "internal/request/budgeter", []Edit{{
		"internal/request/budgeter/probes.go", "float64(max(fleet, 1))", "float64(max(fleet/2, 1))",
	}}},
	{"TestFleetKeepsTheLimitOfATarget", "internal/process/limiter", []Edit{{
		"internal/process/limiter/owner.go", "Share: float64(visible) / float64(len(all))", "Share: 1",
	}}},
	{"TestTargetGetsNoMoreThanTheLimitThatItNames", "platform", []Edit{{
		"internal/process/forwarder/limits.go", "s.placer.SetLimited(key, s.forwarder.limiter.Rate(key) != limiter.Unlimited)", "s.placer.SetLimited(key, false)",
	}, {
		"internal/process/forwarder/limits.go", "	if f.limiter.Bound(t.ID, now) == limiter.Unlimited {\n", "	if true {\n",
	}}},
	{"TestFleetKeepsTheBoundOfAColdTarget", "internal/process/limiter", []Edit{{
		"internal/process/limiter/owner.go", "Share: float64(visible) / float64(len(all))", "Share: 1",
	}}},
	{"TestColdTargetGetsNoMoreThanTheBound", "platform", []Edit{{
		"internal/process/forwarder/limits.go", "	if f.limiter.Bound(t.ID, now) == limiter.Unlimited {\n", "	if f.limiter.Rate(t.ID) == limiter.Unlimited {\n",
	}}},
	{"TestTargetThatSaysThatItLeavesGetsNoRequest", "platform", []Edit{{
		"internal/process/forwarder/statements.go", "	if stated.Leaving {\n", "	if false {\n",
	}}},
	{"TestPausedTargetGetsNothing", "platform", []Edit{{
		"internal/process/forwarder/statements.go", "	if stated.Pause > 0 {\n", "	if false {\n",
	}}},
	{"TestPausedTargetIsLeftOut", "internal/request/placer", []Edit{{
		"internal/request/admitter/admitter.go", "	case r.pausedUntil.isAfter(now):\n", "	case false:\n",
	}}},
	{"TestOverloadIsRejectedWithinTheLimitsOfAllTargets", "platform", []Edit{{
		"internal/process/limiter/owner.go", "	visible := 0\n", "	visible := 0\n	if key != \"\" {\n		return Owner{Peer: self.Instance.Peer, Share: 1}\n	}\n",
	}}},
	{"TestCallersOfInstancesCutOffFromAllTargetsAreServed", "platform", []Edit{{
		"internal/process/surveyor/surveyor.go", "	return !s.cutOff.Swap(true)\n", "	return false\n",
	}}},
	{"TestLeavingRunNeverReturns", "internal/process/registrar", []Edit{{
		"internal/process/registrar/registrar.go", "if (e.leavingSince.IsZero() || state == Leaving) && !r.isOutdated(e, now) {", "if !r.isOutdated(e, now) {",
	}}},
	{"TestReusedAddressGetsNoRequestOfThePreviousTarget", "platform", []Edit{{
		"internal/process/forwarder/execution.go", "	h.Set(d.Target, g.Target.Name)\n", "",
	}, {
		"internal/process/forwarder/links.go", "return name == \"\" || name == t.Name", "return len(name) >= 0",
	}}},
	{"TestReaderIsReplacedWithinTwoSeconds", "internal/process/syncer", []Edit{{
		"internal/process/syncer/schedule.go", "	confirmationTimeout = LongPollWait + 300*time.Millisecond\n", "	confirmationTimeout = LongPollWait + 2*time.Second\n",
	}}},
	{"TestChangesArriveAfterStoreFaults", "platform", []Edit{{
		"platform/source.go", "	if lacksChanges(err) || err == nil && s.beginsEra(at) {\n", "	if err == nil && s.beginsEra(at) {\n",
	}, {
		"internal/process/syncer/syncer.go", "maxIncrementalAge = 5 * time.Second", "maxIncrementalAge = time.Hour",
	}}},
	{"TestFirstReadIsCurrent", "platform", []Edit{{
		"platform/store.go", "oldest = min(oldest, p.Revision)", "oldest = p.Revision",
	}}},
	{"TestSplitterFollowsWeights", "internal/version/router", []Edit{{
		"internal/version/router/split.go", "		left += weights[i]\n", "		left += weights[i] / 2\n",
	}}},
	{"TestShutdownDropsNoRequest", "platform", []Edit{{
		"internal/process/composer/shutdown.go", "	time.Sleep(acceptTime(i.options.Grace))\n", "",
	}, {
		"internal/process/composer/shutdown.go", "	awaitUntil(drainDeadline, func() bool { return i.acceptor.PendingRequests()+i.relayer.Executing() == 0 })\n", "",
	}, {
		"internal/process/composer/shutdown.go", "	awaitUntil(drainDeadline, func() bool { return i.acceptor.OpenConnections() == 0 })\n", "",
	}}},
	{"TestSlowReaderReceivesTheLastResponse", "internal/connection/acceptor", []Edit{{
		"internal/connection/acceptor/receipt.go", "	return now.Sub(r.since) >= idleTimeout\n", "	return now.Sub(r.since) >= lingerTimeout\n",
	}}},
	{"TestTargetThatPausesInReadingIsNotDead", "internal/connection/exchanger", []Edit{{
		"internal/connection/exchanger/watch.go", "		if !w.isLifted {\n", "		if false {\n",
	}}},
	{"TestDeadTargetIsNoticed", "internal/connection/exchanger", []Edit{{
		"internal/connection/exchanger/watch.go", "	if w.isLifted && now.Sub(w.silentSince) >= tcpUserTimeout {\n", "	if false {\n",
	}}},
	{"TestNothingIsSmuggled", "internal/connection/acceptor", []Edit{{
		"internal/connection/acceptor/conn.go", "	h, err := parseHead(head)\n", "	h, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))\n",
	}, {
		"internal/connection/acceptor/conn.go", "	\"bufio\"\n", "	\"bufio\"\n	\"bytes\"\n",
	}}},
	{"TestEachTicketEndsOnce", "internal/request/placer", []Edit{{
		"internal/request/placer/step.go", "			a.Rejections = append(a.Rejections, r)\n			continue\n", "			a.Rejections = append(a.Rejections, r)\n",
	}}},
	{"TestCrashingRequestIsQuarantined", "platform", []Edit{{
		"internal/process/forwarder/request.go", "	case quarantiner.Quarantined, quarantiner.Busy:\n", "	case quarantiner.Busy:\n",
	}}},
	{"TestLogDoesNotBlockOnStalledWriter", "internal/process/journaler", []Edit{{
		"internal/process/journaler/journaler.go", "	select {\n	case j.lines <- line:\n	default:\n		j.omit(b)\n	}\n", "	j.lines <- line\n",
	}}},
	{"TestLogsAndMetricsShowFailureCauses", "platform", []Edit{{
		"internal/process/forwarder/request.go", `"waited", time.Since(r.Arrived), "return", j.RetryAfter)`, `"return", j.RetryAfter)`,
	}, {
		"internal/process/forwarder/request.go", `"reason", j.Reason,`, "",
	}}},
	{"TestUsesTargetsOfARemoteZone", "platform", []Edit{{
		"internal/process/composer/composer.go", "		OfferTargets: i.offerTargets,\n", "",
	}}},
	{"TestOnlyTheOriginPushesRumorsToOtherPlaces", "internal/process/relayer", []Edit{{
		"internal/process/relayer/packet.go", "	to := sample(members, own, fanout)\n", "	to := sample(members, \"\", fanout)\n",
	}}},
	{"TestHalfClosedConnectionIsReadToItsEnd", "internal/connection/framer", []Edit{{
		"internal/connection/framer/conn.go", "	return trace.Wrap(halfCloser.CloseWrite())\n", "	_ = halfCloser\n	return trace.Wrap(c.socket.Close())\n",
	}}},
	{"TestRetryBudgetsArePerService", "internal/process/forwarder", []Edit{{
		"internal/process/forwarder/service.go", "	s.retries.RecordRequest(priority, now)\n", "	s.retries.RecordRequest(priority, now)\n	for _, o := range s.forwarder.services {\n		if o != s {\n			o.retries.RecordRequest(priority, now)\n		}\n	}\n",
	}}},
	{"TestReaderSendsADocumentToFewMembers", "internal/process/relayer", []Edit{{
		"internal/process/relayer/confirm.go", "before == nil || before.Stamps == a.Stamps {", "before == nil || true {",
	}}},
	{"TestRestartsStayWithinAllowance", "internal/request/budgeter", []Edit{{
		"internal/request/budgeter/retries.go", "if age := now.Sub(r.start); age < r.Window {\n", "if age := now.Sub(r.start); false {\n",
	}}},
	{"TestStartsDoNotSpendTheRetriesOfACalmWindowTwice", "internal/request/budgeter", []Edit{{
		"internal/request/budgeter/retries.go", "startRatioFactor, startAllowanceFactor*age", "ratioSafetyFactor, startAllowanceFactor*age",
	}}},
	{"TestPartsOfAFleetThatHasJustStartedAddUpToNoMoreThanTheWhole", "internal/process/sizer", []Edit{{
		"internal/process/sizer/sizer.go", "		n = max(n, targets)\n", "",
	}}},
	{"TestZonesThatNeverMetDivideTheFleet", "internal/process/sizer", []Edit{{
		"internal/process/sizer/sizer.go", "	if s.options.Zones > v.zones {\n", "	if false {\n",
	}}},
	{"TestPausedTargetIsNotAskedAboutAnOverdueRequest", "internal/process/forwarder", []Edit{{
		"internal/process/forwarder/service.go", "	if !s.admits(t, admitter.Probe, time.Now()) {\n", "	if false {\n",
	}}},
	{"TestOffersEachSlotOnce", "internal/request/placer", []Edit{{
		"internal/request/placer/remote.go", "		s.load.Running++\n", "",
	}}},
	{"TestLargeZonesBackOffLonger", "internal/process/syncer", []Edit{{
		"internal/process/syncer/schedule.go", "delay = min(delay*time.Duration(max(instances, smallZoneSize))/smallZoneSize, maxZoneBackoff)", "_ = maxZoneBackoff",
	}}},
}

// TestBrokenVariantsAreRejected guards against tests that pass although the program
// breaks the guarantee that they check. It runs each test on its broken variant and expects
// a failure. Without the environment variable, it only checks that the edits still match
// the source.
func TestBrokenVariantsAreRejected(t *testing.T) {
	root, err := filepath.Abs(filepath.Join("..", "..", ".."))
	require.NoError(t, err)
	for _, v := range variants {
		t.Run(v.test, func(t *testing.T) {
			overlay, err := Overlay(root, t.TempDir(), v.edits)
			require.NoError(t, err)
			if os.Getenv(runVariantsEnv) == "" {
				return
			}
			// A broken variant may block its test, so a timeout counts as a failure. A
			// variant that does not compile does not match the expression below.
			c := exec.Command("go", "test", "-overlay", overlay, "-run", "^"+v.test+"$", "-timeout", "60s", "./"+v.directory)
			c.Dir = root
			out, err := c.CombinedOutput()
			require.Error(t, err, "the test passes on its broken variant, expected a failure: %s", out)
			require.Regexp(t, `--- FAIL: `+v.test+`|panic: test timed out`, string(out))
		})
	}
}

// TestOverlayRejectsMismatchedEdits guards against edits that no longer match the source:
// without an error, a test would run on a program that is not broken.
func TestOverlayRejectsMismatchedEdits(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(root, "a.go"), []byte("package a\nvar b, bb int\n"), 0o600))
	for _, text := range []string{"ccc", "b"} {
		_, err := Overlay(root, t.TempDir(), []Edit{{"a.go", text, "d"}})
		require.Error(t, err)
	}
	_, err := Overlay(root, t.TempDir(), []Edit{{"a.go", "bb", "c"}, {"a.go", "c int", "d int"}})
	require.NoError(t, err, "a later edit applies to the result of an earlier edit")
}
