package parser

import "oriolecourse.example/oriolecourse/internal/version/resolver"

// rule is a constraint on two settings of one service or kind.
//
// A violation is a fault when the subject is set at the level of the other
// setting or at a more specific level. When the subject is inherited from a more
// general level than the other setting, adapt changes it to a value that is
// allowed. Without adapt, that is a fault as well.
//
// Values are adapted at services and at kinds, but a rule reports faults only at
// its own level. A violation by two defaults is not reported;
// TestDefaultsViolateNoRule guards against it.
type rule struct {
	subject, other string
	// level is Service or Kind: the level at which violations are reported.
	level    Level
	violated func(p *resolver.Policy) bool
	adapt    func(p *resolver.Policy)
	reason   string
}

var rules = []rule{
	{
		subject: "hedge", other: "once", level: Kind,
		violated: func(p *resolver.Policy) bool { return p.AtMostOnce && p.HedgeDelay > 0 },
		adapt:    func(p *resolver.Policy) { p.HedgeDelay = 0 },
		reason:   "requests that run at most once are never hedged",
	},
	{
		subject: "hedge", other: "deadline", level: Kind,
		violated: func(p *resolver.Policy) bool { return p.HedgeDelay > 0 && p.HedgeDelay >= p.Deadline },
		adapt:    func(p *resolver.Policy) { p.HedgeDelay = 0 },
		reason:   "the hedged request would not be sent before the deadline",
	},
	{
		subject: "wait", other: "deadline", level: Kind,
		violated: func(p *resolver.Policy) bool { return p.MaxWait > p.Deadline },
		adapt:    func(p *resolver.Policy) { p.MaxWait = p.Deadline },
		reason:   "a request cannot wait beyond its deadline",
	},
	{
		subject: "deadline", other: "forget", level: Kind,
		violated: func(p *resolver.Policy) bool { return p.AtMostOnce && p.Deadline > p.OutcomeRetention },
		reason:   "the outcome would be deleted before the deadline has passed",
	},
	{
		subject: "keep", other: "epoch", level: Service,
		violated: func(p *resolver.Policy) bool { return p.HomesTTL > p.EpochDuration },
		reason:   "callers would use an epoch that has closed",
	},
	{
		subject: "probes", other: "fleet", level: Service,
		violated: func(p *resolver.Policy) bool { return p.Probes > 0 && p.Probes < p.Fleet },
		reason:   "each instance would get a budget of 0; write 0 or at least fleet",
	},
	{
		subject: "connections", other: "fleet", level: Service,
		violated: func(p *resolver.Policy) bool { return p.Connections < p.Fleet },
		reason:   "each instance would get no connection",
	},
	{
		subject: "homes", other: "fleet", level: Service,
		violated: func(p *resolver.Policy) bool { return p.MinHomes > p.Fleet },
		adapt:    func(p *resolver.Policy) { p.MinHomes = p.Fleet },
		reason:   "a caller would be told to use more instances than may run",
	},
	{
		subject: "timeout", other: "window", level: Service,
		violated: func(p *resolver.Policy) bool { return p.ProbeTimeout > p.ProbeWindow },
		reason:   "a probe could take longer than the period in which it is counted",
	},
}

// origin returns the setting and the level from which a layer gets the value of
// a setting. For a default it returns nil and level 0, which counts as more
// general than Root.
func (l *layer) origin(name string) (*setting, Level) {
	for ; l != nil; l = l.parent {
		for i := range l.settings {
			if l.settings[i].record.Name == name {
				return &l.settings[i], l.level
			}
		}
	}
	return nil, 0
}

// applyRules adapts the policy of a layer to the rules and reports a fault for
// each violation that remains.
func (r *reader) applyRules(l *layer, p *resolver.Policy) {
	for i := range rules {
		v := &rules[i]
		if !v.violated(p) {
			continue
		}
		subject, subjectLevel := l.origin(v.subject)
		other, otherLevel := l.origin(v.other)
		if v.adapt != nil && subjectLevel < otherLevel {
			v.adapt(p)
			continue
		}
		if v.level != l.level {
			continue
		}
		reported := subject
		if subjectLevel < otherLevel {
			reported = other
		}
		if reported == nil {
			continue
		}
		r.add(reported.path, reported.line, TitleConflict, "%s is %s and %s is %s: %s",
			v.subject, formatSetting(v.subject, p), v.other, formatSetting(v.other, p), v.reason)
	}
}

// formatSetting returns a policy's value of a setting as it is written in the tree.
func formatSetting(name string, p *resolver.Policy) string {
	v := recordsByName[name]
	return v.format.write(v.field.get(p))
}

// RuleText describes a rule for the reference page.
type RuleText struct {
	// Subject and Other are the names of the two settings.
	Subject, Other string
	// Text is the reason why the values exclude each other.
	Text string
	// Adapts reports whether an inherited subject is changed to fit.
	Adapts bool
}

// RuleTexts returns the rules for the reference page.
func RuleTexts() []RuleText {
	texts := make([]RuleText, 0, len(rules))
	for _, v := range rules {
		texts = append(texts, RuleText{Subject: v.subject, Other: v.other, Text: v.reason, Adapts: v.adapt != nil})
	}
	return texts
}
