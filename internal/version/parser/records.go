package parser

import (
	"time"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Records holds one record per setting, in the order of the reference page.
var Records = []Record{
	{
		Name: "priority", Levels: allLevels, Default: "normal", Example: "urgent", form: priorityForm,
		Title: "Order of requests that wait for room.",
		Text:  "Urgent requests are sent before normal ones and those before queued ones. Waiting raises a request's rank over time, so that no priority starves.",
		field: number(func(p *resolver.Policy) *resolver.Priority { return &p.Priority }),
	},
	{
		Name: "once", Levels: Service | Kind, Default: "false", Example: "true", form: flagForm,
		Title: "Marks requests that are not idempotent and run at most once.",
		Text:  "Callers send an operation id with these requests. They are never hedged, and they are sent again only when the first try was certainly not run.",
		field: flag(func(p *resolver.Policy) *bool { return &p.AtMostOnce }),
	},
	{
		Name: "deadline", Levels: allLevels, Default: "2s", Least: "5ms", Most: "5m", Example: "250ms", form: durationForm,
		Title: "Longest time from a request's arrival to its answer.",
		Text:  "A caller may ask for less, never for more. What is left of it is passed on to the target.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.Deadline }),
	},
	{
		Name: "wait", Levels: allLevels, Default: "500ms", Least: "0s", Most: "5m", Example: "60ms", form: durationForm,
		Title: "Longest time that a request may spend queued.",
		Text:  "A request that waited longer is refused as not run. 0s lets it wait until its deadline. An inherited wait is cut to a shorter deadline.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.MaxWait }),
	},
	{
		Name: "queue", Levels: serviceLevels, Default: "256", Least: "0", Most: "100000", Example: "128", form: countForm,
		Title: "Number of requests that may wait per service and instance.",
		Text:  "A full queue refuses the least urgent request as not run and tells its caller when to come back.",
		field: number(func(p *resolver.Policy) *int { return &p.Queue }),
	},
	{
		Name: "retries", Levels: serviceLevels, Default: "0.1", Least: "0", Most: "1", Example: "0.05", form: ratioForm,
		Title: "Greatest ratio of retries to first tries.",
		Text:  "The budget of a service. It bounds by how much failing targets can raise the load.",
		field: number(func(p *resolver.Policy) *float64 { return &p.RetryRatio }),
	},
	{
		Name: "hedge", Levels: allLevels, Default: "0s", Least: "0s", Most: "1m", Example: "15ms", form: durationForm,
		Title: "Delay before an idempotent request is tried at a second target.",
		Text:  "0s turns second tries off. They go only into free slots and within the ratio. Kinds with once never inherit it.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.HedgeDelay }),
	},
	{
		Name: "ratio", Levels: serviceLevels, Default: "0.02", Least: "0", Most: "0.25", Example: "0.03", form: ratioForm,
		Title: "Greatest ratio of second tries to first tries.",
		Text:  "The budget of a service for hedged requests.",
		field: number(func(p *resolver.Policy) *float64 { return &p.HedgeRatio }),
	},
	{
		Name: "slots", Levels: serviceLevels, Default: "2", Least: "1", Most: "10000", Example: "3", form: countForm,
		Title: "Number of requests that one target runs at a time.",
		Text:  "The instances keep the requests outstanding at a target near this number.",
		field: number(func(p *resolver.Policy) *int { return &p.Slots }),
	},
	{
		Name: "spare", Levels: serviceLevels, Default: "1", Least: "0", Most: "1000", Example: "1", form: countForm,
		Title: "Number of requests outstanding at a target beyond its slots.",
		Text:  "These hide the network's delay between two requests: take slots times the round trip to a target over its time for a request, rounded up, and one for uneven times. Fewer leave slots idle in a burst; more move the queue from the instance, where it is ordered, to the target, where it is not.",
		field: number(func(p *resolver.Policy) *int { return &p.Spare }),
	},
	{
		Name: "connections", Levels: serviceLevels, Default: "250", Least: "1", Most: "100000", Example: "250", form: countForm,
		Title: "Number of connections per target over the whole fleet.",
		Text:  "Each instance keeps within connections divided by fleet, so that the bound holds whatever the instances believe about each other.",
		field: number(func(p *resolver.Policy) *int { return &p.Connections }),
	},
	{
		Name: "fleet", Levels: placeLevels, Default: "32", Least: "1", Most: "1000", Example: "32", form: countForm,
		Title: "Largest number of instances that may live at once.",
		Text:  "Count replacements: twice the usual number allows all instances to be replaced together. Shares of probes and connections are divided by it.",
		field: number(func(p *resolver.Policy) *int { return &p.Fleet }),
	},
	{
		Name: "probes", Levels: serviceLevels, Default: "0", Least: "0", Most: "1000000", Example: "64", form: countForm,
		Title: "Number of probes the fleet may send to a service's targets within a window.",
		Text:  "The budget for measuring. 0 sends none. Each instance owns probes divided by fleet, rounded down, so a number below fleet would allow none and is refused.",
		field: number(func(p *resolver.Policy) *int { return &p.Probes }),
	},
	{
		Name: "window", Levels: serviceLevels, Default: "10s", Least: "1s", Most: "1h", Example: "10s", form: durationForm,
		Title: "Period over which probes are counted.",
		Text:  "The budget holds over every period of this length.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.ProbeWindow }),
	},
	{
		Name: "timeout", Levels: serviceLevels, Default: "250ms", Least: "1ms", Most: "30s", Example: "100ms", form: durationForm,
		Title: "Longest time for one probe and for opening one connection.",
		Text:  "A probe that takes longer is canceled; it counts as sent.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.ProbeTimeout }),
	},
	{
		Name: "homes", Levels: serviceLevels, Default: "2", Least: "1", Most: "100", Example: "2", form: countForm,
		Title: "Least number of instances named in an answer to a caller.",
		Text:  "Few instances know their targets better; two in different zones outlive the loss of one.",
		field: number(func(p *resolver.Policy) *int { return &p.MinHomes }),
	},
	{
		Name: "rate", Levels: serviceLevels, Default: "2000", Least: "1", Most: "1000000", Example: "1500", form: decimalForm,
		Title: "Load in calls per second that one home is sized for.",
		Text:  "A service with more load is spread over more instances.",
		field: number(func(p *resolver.Policy) *float64 { return &p.HomeRate }),
	},
	{
		Name: "keep", Levels: serviceLevels, Default: "5s", Least: "100ms", Most: "5m", Example: "5s", form: durationForm,
		Title: "How long a caller may keep an answer.",
		Text:  "A leaving instance serves until the longest kept answer has run out, so this is the least length of a graceful shutdown.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.HomesTTL }),
	},
	{
		Name: "ramp", Levels: serviceLevels, Default: "10s", Least: "0s", Most: "1h", Example: "20s", form: durationForm,
		Title: "Time over which a started target reaches its full share.",
		Text:  "Covers a cold start. 0s gives a new target its full share at once.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.Ramp }),
	},
	{
		Name: "failures", Levels: serviceLevels, Default: "5", Least: "1", Most: "1000", Example: "3", form: countForm,
		Title: "Number of consecutive failures after which a target is ejected.",
		Text:  "A target that fails fast is taken out before it attracts load.",
		field: number(func(p *resolver.Policy) *int { return &p.Failures }),
	},
	{
		Name: "eject", Levels: serviceLevels, Default: "5s", Least: "100ms", Most: "1h", Example: "3s", form: durationForm,
		Title: "Time for which a failing target is ejected.",
		Text:  "Never are so many targets ejected that the rest could not carry the load.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.EjectionTime }),
	},
	{
		Name: "body", Levels: allLevels, Default: "4MiB", Least: "1KiB", Most: "64MiB", Example: "256KiB", form: sizeForm,
		Title: "Largest request or answer.",
		Text:  "A larger request is refused as not run; a larger answer counts as lost.",
		field: number(func(p *resolver.Policy) *int64 { return &p.MaxBodyBytes }),
	},
	{
		Name: "epoch", Levels: placeLevels, Default: "30s", Least: "1s", Most: "1h", Example: "30s", form: durationForm,
		Title: "Time for which an instance accepts new operations under one epoch.",
		Text:  "Not below keep, since callers keep the executor's epoch with the answer that named it.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.EpochDuration }),
	},
	{
		Name: "forget", Levels: placeLevels, Default: "2m", Least: "1s", Most: "24h", Example: "2m", form: durationForm,
		Title: "How long outcomes are kept after their epoch has closed.",
		Text:  "Callers may send an operation again and receive the first outcome until then; later it is refused for good. Not below the longest deadline.",
		field: number(func(p *resolver.Policy) *time.Duration { return &p.OutcomeRetention }),
	},
	{
		Name: "tail", Levels: serviceLevels, Default: "5", Least: "0", Most: "10", Example: "8", form: countForm,
		Title: "Weight of tail latency.",
		Text:  "The higher it is against cost, the sooner and the longer a target is probed that traffic does not tell about. 0 turns probes off.",
		field: number(func(p *resolver.Policy) *int { return &p.TailWeight }),
	},
	{
		Name: "cost", Levels: serviceLevels, Default: "5", Least: "0", Most: "10", Example: "3", form: countForm,
		Title: "Weight of the cost of measuring.",
		Text:  "The higher it is against tail, the longer the system waits for traffic to tell before it probes, and the sooner it gives up.",
		field: number(func(p *resolver.Policy) *int { return &p.CostWeight }),
	},
}
