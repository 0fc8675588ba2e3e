package parser

import "oriolecourse.example/oriolecourse/internal/version/resolver"

// rule relates two settings of one service or kind.
//
// A combination is refused when the subject stands at the level of the other
// setting or below it. When the subject is only inherited from further up,
// adapt makes it fit; a rule without adapt refuses that as well.
type rule struct {
	subject, other string
	// level is Service or Kind: what the rule is checked for.
	level  Level
	broken func(p *resolver.Policy) bool
	adapt  func(p *resolver.Policy)
	text   string
}

var rules = []rule{
	{
		subject: "hedge", other: "once", level: Kind,
		broken: func(p *resolver.Policy) bool { return p.AtMostOnce && p.HedgeDelay > 0 },
		adapt:  func(p *resolver.Policy) { p.HedgeDelay = 0 },
		text:   "requests that run at most once are never tried twice",
	},
	{
		subject: "hedge", other: "deadline", level: Kind,
		broken: func(p *resolver.Policy) bool { return p.HedgeDelay > 0 && p.HedgeDelay >= p.Deadline },
		adapt:  func(p *resolver.Policy) { p.HedgeDelay = 0 },
		text:   "the second try would come after the deadline",
	},
	{
		subject: "wait", other: "deadline", level: Kind,
		broken: func(p *resolver.Policy) bool { return p.MaxWait > p.Deadline },
		adapt:  func(p *resolver.Policy) { p.MaxWait = p.Deadline },
		text:   "a request cannot wait beyond its deadline",
	},
	{
		subject: "deadline", other: "forget", level: Kind,
		broken: func(p *resolver.Policy) bool { return p.AtMostOnce && p.Deadline > p.OutcomeRetention },
		text:   "the outcome would be forgotten before the deadline has passed",
	},
	{
		subject: "keep", other: "epoch", level: Service,
		broken: func(p *resolver.Policy) bool { return p.HomesTTL > p.EpochDuration },
		text:   "callers would keep answers whose epoch has closed",
	},
	{
		subject: "probes", other: "fleet", level: Service,
		broken: func(p *resolver.Policy) bool { return p.Probes > 0 && p.Probes < p.Fleet },
		text:   "the share of each instance would be zero; write 0 or at least fleet",
	},
	{
		subject: "connections", other: "fleet", level: Service,
		broken: func(p *resolver.Policy) bool { return p.Connections < p.Fleet },
		text:   "the share of each instance would be zero",
	},
	{
		subject: "homes", other: "fleet", level: Service,
		broken: func(p *resolver.Policy) bool { return p.MinHomes > p.Fleet },
		adapt:  func(p *resolver.Policy) { p.MinHomes = p.Fleet },
		text:   "an answer cannot name more instances than live",
	},
	{
		subject: "timeout", other: "window", level: Service,
		broken: func(p *resolver.Policy) bool { return p.ProbeTimeout > p.ProbeWindow },
		text:   "a probe would last longer than the period that counts it",
	},
}

// origin finds where a layer's value of a setting stands; nil when it is the default.
func (l *layer) origin(name string) (*entry, Level) {
	for ; l != nil; l = l.parent {
		for i := range l.entries {
			if l.entries[i].record.Name == name {
				return &l.entries[i], l.level
			}
		}
	}
	return nil, 0
}

// apply adapts the policy of a layer to the rules and reports those it breaks.
func (r *reader) apply(l *layer, p *resolver.Policy) {
	for i := range rules {
		v := &rules[i]
		if !v.broken(p) {
			continue
		}
		subject, high := l.origin(v.subject)
		other, low := l.origin(v.other)
		if v.adapt != nil && high < low {
			v.adapt(p)
			continue
		}
		if v.level != l.level {
			continue
		}
		at := subject
		if high < low {
			at = other
		}
		if at == nil {
			continue
		}
		r.add(at.path, at.line, TitleConflict, "%s is %s and %s is %s: %s",
			v.subject, written(v.subject, p), v.other, written(v.other, p), v.text)
	}
}

// written gives a policy's value of a setting as the tree would hold it.
func written(name string, p *resolver.Policy) string {
	v := recordsByName[name]
	return v.form.write(v.field.get(p))
}

// RuleText describes a rule on the reference page.
type RuleText struct {
	// Subject and Other are the two settings.
	Subject, Other string
	// Text says why they exclude each other.
	Text string
	// Adapts says that an inherited subject gives way.
	Adapts bool
}

// RuleTexts lists the rules between settings.
func RuleTexts() []RuleText {
	texts := make([]RuleText, 0, len(rules))
	for _, v := range rules {
		texts = append(texts, RuleText{Subject: v.subject, Other: v.other, Text: v.text, Adapts: v.adapt != nil})
	}
	return texts
}
