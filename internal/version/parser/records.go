package parser

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Records holds one record per setting, in the order of the reference page.
var Records = []Record{
	{
		Name: "priority", Levels: allLevels, Default: "normal", Example: "urgent", format: priorityFormat,
		Title: "Order of requests that wait for a free slot.",
		Text:  "Urgent requests are sent before normal requests, and normal requests before queued ones. The rank of a request rises while it waits, so that no priority starves.",
		field: numberField(func(p *resolver.Policy) *resolver.Priority { return &p.Priority }),
	},
	{
		Name: "once", Levels: Service | Kind, Default: "false", Example: "true", format: flagFormat,
		Title: "Marks requests that are not idempotent and must run at most once.",
		Text:  "Callers send an operation id with these requests. The system never hedges them, and it retries them only when the first attempt was certainly not executed.",
		field: boolField(func(p *resolver.Policy) *bool { return &p.AtMostOnce }),
	},
	{
		Name: "deadline", Levels: allLevels, Default: "2s", Min: "5ms", Max: "5m", Example: "250ms", format: durationFormat,
		Title: "Longest time from the arrival of a request to its response.",
		Text:  "A caller may ask for less, but not for more. The remaining time is passed on to the target.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.Deadline }),
	},
	{
		Name: "wait", Levels: allLevels, Default: "500ms", Min: "0s", Max: "5m", Example: "60ms", format: durationFormat,
		Title: "Longest time that a request may spend in the queue.",
		Text:  "A request that waits longer is rejected as not executed. 0s lets it wait until its deadline. An inherited wait that is longer than the deadline is reduced to the deadline.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.MaxWait }),
	},
	{
		Name: "queue", Levels: serviceLevels, Default: "256", Min: "0", Max: "100000", Example: "128", format: countFormat,
		Title: "Number of requests that may wait per service and instance.",
		Text:  "A full queue rejects the least urgent request as not executed and tells the caller when to retry.",
		field: numberField(func(p *resolver.Policy) *int { return &p.Queue }),
	},
	{
		Name: "retries", Levels: serviceLevels, Default: "0.1", Min: "0", Max: "1", Example: "0.05", format: ratioFormat,
		Title: "Maximum ratio of retries to first attempts.",
		Text:  "This is the retry budget of a service. It limits the load that failing targets can add.",
		field: numberField(func(p *resolver.Policy) *float64 { return &p.RetryRatio }),
	},
	{
		Name: "hedge", Levels: allLevels, Default: "0s", Min: "0s", Max: "1m", Example: "15ms", format: durationFormat,
		Title: "Delay before an idempotent request is also sent to a second target.",
		Text:  "0s turns hedged requests off. Hedged requests are sent only to free slots and within the ratio. Kinds with once never inherit the delay.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.HedgeDelay }),
	},
	{
		Name: "ratio", Levels: serviceLevels, Default: "0.02", Min: "0", Max: "0.25", Example: "0.03", format: ratioFormat,
		Title: "Maximum ratio of hedged requests to first attempts.",
		Text:  "This is the budget of a service for hedged requests.",
		field: numberField(func(p *resolver.Policy) *float64 { return &p.HedgeRatio }),
	},
	{
		Name: "slots", Levels: serviceLevels, Default: "2", Min: "1", Max: "10000", Example: "3", format: countFormat,
		Title: "Number of requests that one target runs at the same time.",
		Text:  "The instances keep the number of outstanding requests of a target close to this number.",
		field: numberField(func(p *resolver.Policy) *int { return &p.Slots }),
	},
	{
		Name: "spare", Levels: serviceLevels, Default: "1", Min: "0", Max: "1000", Example: "1", format: countFormat,
		Title: "Number of requests outstanding at a target beyond its slots.",
		Text:  "They hide the network delay between two requests. Set it to slots times the round-trip time to a target divided by the time that the target takes for a request, rounded up, plus 1 because these times vary. A smaller number leaves slots idle in a burst. A larger number moves the queue from the instance, which orders it by priority, to the target, which does not.",
		field: numberField(func(p *resolver.Policy) *int { return &p.Spare }),
	},
	{
		Name: "connections", Levels: serviceLevels, Default: "250", Min: "1", Max: "100000", Example: "250", format: countFormat,
		Title: "Number of connections per target over the whole fleet.",
		Text:  "Each instance opens at most connections divided by fleet, so that the bound holds even when the instances disagree about the membership.",
		field: numberField(func(p *resolver.Policy) *int { return &p.Connections }),
	},
	{
		Name: "fleet", Levels: placeLevels, Default: "32", Min: "1", Max: "1000", Example: "32", format: countFormat,
		Title: "Largest number of instances that may run at the same time.",
		Text:  "Include replacements: twice the usual number allows all instances to be replaced at the same time. The budgets for probes and connections are divided by it.",
		field: numberField(func(p *resolver.Policy) *int { return &p.Fleet }),
	},
	{
		Name: "probes", Levels: serviceLevels, Default: "0", Min: "0", Max: "1000000", Example: "64", format: countFormat,
		Title: "Number of probes that the fleet may send to the targets of a service within a window.",
		Text:  "This is the probe budget of a service. 0 turns probes off. Each instance gets probes divided by fleet, rounded down, so a number below fleet would allow no probes and is rejected.",
		field: numberField(func(p *resolver.Policy) *int { return &p.Probes }),
	},
	{
		Name: "window", Levels: serviceLevels, Default: "10s", Min: "1s", Max: "1h", Example: "10s", format: durationFormat,
		Title: "Period over which probes are counted.",
		Text:  "The probe budget holds over every period of this length.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.ProbeWindow }),
	},
	{
		Name: "timeout", Levels: serviceLevels, Default: "250ms", Min: "1ms", Max: "30s", Example: "100ms", format: durationFormat,
		Title: "Time that the probe budget allows for one probe.",
		Text:  "A probe that takes longer is not canceled, since a paused target still reads it later; it counts until it ends. A completed probe counts for the window and this time. A restarted instance waits for the window and twice this time before its first probe.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.ProbeTimeout }),
	},
	{
		Name: "homes", Levels: serviceLevels, Default: "2", Min: "1", Max: "100", Example: "2", format: countFormat,
		Title: "Number of instances that a caller is told to use: homes first, then backups.",
		Text:  "With fewer instances, each one handles more of the requests and has better data about the targets. With two instances in different zones, one remains when the other is lost, so the number is raised to 2 when the usable instances are in several zones.",
		field: numberField(func(p *resolver.Policy) *int { return &p.MinHomes }),
	},
	{
		Name: "rate", Levels: serviceLevels, Default: "2000", Min: "1", Max: "1000000", Example: "1500", format: decimalFormat,
		Title: "Load in calls per second that one home is sized for.",
		Text:  "A service with a higher load is spread over more instances.",
		field: numberField(func(p *resolver.Policy) *float64 { return &p.HomeRate }),
	},
	{
		Name: "keep", Levels: serviceLevels, Default: "5s", Min: "100ms", Max: "5m", Example: "5s", format: durationFormat,
		Title: "How long a caller may use the instances that it was told to use.",
		Text:  "A leaving instance serves until this time has passed for every caller, so it is the minimum duration of a graceful shutdown.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.HomesTTL }),
	},
	{
		Name: "ramp", Levels: serviceLevels, Default: "10s", Min: "0s", Max: "1h", Example: "20s", format: durationFormat,
		Title: "Time over which the share of a newly started target rises to its full share of the requests.",
		Text:  "Allows for a cold start. 0s gives a new target its full share immediately.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.Ramp }),
	},
	{
		Name: "failures", Levels: serviceLevels, Default: "5", Min: "1", Max: "1000", Example: "3", format: countFormat,
		Title: "Number of consecutive failures after which a target is ejected.",
		Text:  "A target that fails fast is ejected before its short response times attract load.",
		field: numberField(func(p *resolver.Policy) *int { return &p.Failures }),
	},
	{
		Name: "eject", Levels: serviceLevels, Default: "5s", Min: "100ms", Max: "1h", Example: "3s", format: durationFormat,
		Title: "Time for which a failing target is ejected.",
		Text:  "Targets are not ejected when the remaining ones could not carry the load.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.EjectionTime }),
	},
	{
		Name: "body", Levels: allLevels, Default: "4MiB", Min: "1KiB", Max: "64MiB", Example: "256KiB", format: sizeFormat,
		Title: "Largest body of a request or response.",
		Text:  "A request with a larger body is rejected as not executed. A larger response counts as lost.",
		field: numberField(func(p *resolver.Policy) *int64 { return &p.MaxBodyBytes }),
	},
	{
		Name: "epoch", Levels: placeLevels, Default: "30s", Min: "1s", Max: "1h", Example: "30s", format: durationFormat,
		Title: "Time for which an instance issues tokens of one epoch for operations.",
		Text:  "Must be at least keep, because a caller receives the token of an executor together with the instances to use, and may use both for that time.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.EpochDuration }),
	},
	{
		Name: "forget", Levels: placeLevels, Default: "2m", Min: "1s", Max: "24h", Example: "2m", format: durationFormat,
		Title: "How long outcomes are kept after their epoch has closed.",
		Text:  "Until then, a caller that sends an operation again receives its first outcome. Later the operation is rejected permanently. Must be at least the deadline of every kind with once, so that the outcome is still kept when the deadline passes.",
		field: numberField(func(p *resolver.Policy) *time.Duration { return &p.OutcomeRetention }),
	},
	{
		Name: "tail", Levels: serviceLevels, Default: "5", Min: "0", Max: "10", Example: "8", format: countFormat,
		Title: "Weight of tail latency.",
		Text:  "Probes learn the state of a target that traffic does not show. A higher weight relative to cost means that such a target is probed earlier and for longer. 0 turns probes off.",
		field: numberField(func(p *resolver.Policy) *int { return &p.TailWeight }),
	},
	{
		Name: "cost", Levels: serviceLevels, Default: "5", Min: "0", Max: "10", Example: "3", format: countFormat,
		Title: "Weight of the cost of probes.",
		Text:  "A higher weight relative to tail means that the system waits longer for traffic before it probes a target, and that it stops probing earlier. The wait is proportional to (1 + cost) / (1 + tail).",
		field: numberField(func(p *resolver.Policy) *int { return &p.CostWeight }),
	},
}
