package ablator

import (
	"slices"

	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/standin/mutator"
)

// Mechanism is a mechanism of the decisions that can be switched off.
type Mechanism struct {
	// Name is the argument of the command that switches it off.
	Name string
	// Answers says which load or failure the mechanism is for.
	Answers string
	// Edits switch it off.
	Edits []mutator.Edit
}

// The files that the mechanisms are in.
const (
	placerFile     = "internal/request/placer/placer.go"
	stepFile       = "internal/request/placer/step.go"
	targetFile     = "internal/request/placer/target.go"
	fanoutFile     = "internal/request/placer/fanout.go"
	preferenceFile = "internal/request/placer/preference.go"
	rejectFile     = "internal/request/placer/reject.go"
	rationerFile   = "internal/request/rationer/rationer.go"
	retriesFile    = "internal/request/budgeter/retries.go"
	executionFile  = "internal/process/forwarder/execution.go"
	serviceFile    = "internal/process/forwarder/service.go"
)

// Mechanisms lists the mechanisms in the order of the documentation.
var Mechanisms = []Mechanism{
	{"reports", "targets that change speed several times a second", []mutator.Edit{{
		File: placerFile, Text: "freshReportAge = 6 * time.Millisecond", By: "freshReportAge = 200 * time.Millisecond",
	}}},
	{"localwait", "a zone whose few targets are busy for a moment", []mutator.Edit{{
		File: placerFile, Text: "defaultLocalWait = 0.25", By: "defaultLocalWait = 0.0",
	}}},
	{"explore", "new targets beside connected ones", []mutator.Edit{{
		File: placerFile, Text: "exploreShare = 0.25", By: "exploreShare = 0.0",
	}}},
	{"fanout", "services most of whose targets are free", []mutator.Edit{{
		File: fanoutFile, Text: "shortRounds = 2\n", By: "shortRounds = 0\n",
	}}},
	{"immediate", "targets whose report arrives late", []mutator.Edit{{
		File: placerFile, Text: "immediateSlowdown = 1.2", By: "immediateSlowdown = 0.0",
	}}},
	{"equal", "many requests that choose the same target", []mutator.Edit{{
		File: placerFile, Text: "equalRatio = 1.15", By: "equalRatio = 1.0",
	}}},
	{"slack", "a backlog of late requests beside fresh ones", []mutator.Edit{{
		File: stepFile, Text: "		return p.sortKey(a, missesA, now).Compare(p.sortKey(b, missesB, now))\n", By: "		return a.Arrived.Compare(b.Arrived)\n",
	}, {
		File: stepFile, Text: "		if missesA != missesB {\n", By: "		if missesA != missesB && false {\n",
	}}},
	{"priority", "urgent requests among others", []mutator.Edit{{
		File: placerFile, Text: "priorityStep = 200 * time.Millisecond", By: "priorityStep = 0 * time.Millisecond",
	}}},
	{"aging", "less urgent requests that wait for long", []mutator.Edit{{
		File: placerFile, Text: "agingDelay = time.Second", By: "agingDelay = time.Hour",
	}}},
	{"slowlate", "late requests on slow targets", []mutator.Edit{{
		File: placerFile, Text: "maxSlowdownPastObjective = 2.0", By: "maxSlowdownPastObjective = 100.0",
	}}},
	{"saturation", "targets that slow down when they are nearly full", []mutator.Edit{{
		File: targetFile, Text: "saturationSlowdown = 1.6", By: "saturationSlowdown = 1.0",
	}}},
	{"ownspeed", "targets that are always faster or slower than others", []mutator.Edit{{
		File: targetFile, Text: "ownSlowdownGain = 0.1", By: "ownSlowdownGain = 0.0",
	}}},
	{"avoidance", "targets that fail a part of their requests", []mutator.Edit{{
		File: targetFile, Text: "avoidFailureShare = 0.4", By: "avoidFailureShare = 2.0",
	}}},
	{"sound", "bookings at targets that lose responses", []mutator.Edit{{
		File: targetFile, Text: "recentFailureTime = 3 * time.Second", By: "recentFailureTime = 0 * time.Second",
	}}},
	{"accepting", "a target that sheds most of its requests beside others that do not", []mutator.Edit{{
		File: preferenceFile, Text: "s.recentShedShare(now) > least+maxShedShareGap", By: "false",
	}}},
	{"reserve", "late and less urgent requests that take the last slots", []mutator.Edit{{
		File: rationerFile, Text: "reservedSlots = 1\n", By: "reservedSlots = 0\n",
	}}},
	{"returning", "clients that return after a rejection", []mutator.Edit{{
		File: rationerFile, Text: "returnRatio = 0.75", By: "returnRatio = 0.0",
	}}},
	{"returned", "targets that all shed more requests than the budget can repeat", []mutator.Edit{{
		File: retriesFile, Text: "returnedShare = 0.8\n", By: "returnedShare = 0.0\n",
	}}},
	{"forecast", "queues that are too long for the deadline", []mutator.Edit{{
		File: placerFile, Text: "minRankForForecast = 12", By: "minRankForForecast = 1 << 30",
	}}},
	{"shedreturn", "targets that shed a part of their requests although they have room", []mutator.Edit{{
		File: placerFile, Text: "shedRetryAfter = 20 * time.Millisecond", By: "shedRetryAfter = 200 * time.Millisecond",
	}}},
	{"hedge", "targets that stop in the middle of a request", []mutator.Edit{{
		File: executionFile, Text: "hedgeSlowdown = 3.0", By: "hedgeSlowdown = 1000.0",
	}}},
	{"retry", "targets that fail or reject a request", []mutator.Edit{{
		File: executionFile, Text: "	return e.service.takeRetry(e.route.Priority, now)\n", By: "	return false\n",
	}}},
	{"search", "zones whose slots an instance there knows best", []mutator.Edit{{
		File: serviceFile, Text: "	s.placer.CanSearch = f.options.CanSearch\n", By: "",
	}}},
}

// Apply switches a mechanism off in the tree at root, which should be a scratch copy.
func Apply(root, name string) error {
	i := slices.IndexFunc(Mechanisms, func(m Mechanism) bool { return m.Name == name })
	if i < 0 {
		return trace.NotFound("no mechanism is named %q", name)
	}
	return trace.Wrap(mutator.Rewrite(root, Mechanisms[i].Edits))
}
