package parser

import (
	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// EffectiveSetting is the value of one setting and its source.
type EffectiveSetting struct {
	Name  string
	Value string
	// Source is default, root, place, service or kind. When a rule has adapted the
	// value, Source also gives the original value, as in "root, adapted from 15ms".
	Source string
}

// Effective returns the effective settings of a kind. When kind is empty, it
// returns those of the service; when service is empty too, those of the place;
// when all are empty, those of the root. The document must be valid.
func Effective(text []byte, place, service, kind string) ([]EffectiveSetting, error) {
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	r := &reader{}
	_, l := r.readDocument(text)
	for _, v := range []string{place, service, kind} {
		if v == "" {
			break
		}
		child := l.child(v)
		if child == nil {
			return nil, trace.NotFound("the tree has no %s %q%s", keysOfLevel[l.level].childLevel, v, suggestion(v, l.names()))
		}
		l = child
	}
	p := l.policy()
	r.applyRules(l, &p)
	settings := make([]EffectiveSetting, 0, len(Records))
	for i := range Records {
		settings = append(settings, l.effectiveSetting(&Records[i], &p))
	}
	return settings, nil
}

func (l *layer) effectiveSetting(r *Record, p *resolver.Policy) EffectiveSetting {
	value, source := r.defaultValue, "default"
	if e, at := l.origin(r.Name); e != nil {
		value, source = e.value, at.String()
	}
	if effective := r.field.get(p); effective != value {
		source += ", adapted from " + r.format.write(value)
	}
	return EffectiveSetting{Name: r.Name, Value: formatSetting(r.Name, p), Source: source}
}

// policy returns the settings of one layer before the rules are applied.
func (l *layer) policy() resolver.Policy {
	p := defaults()
	if l.parent != nil {
		p = l.parent.policy()
	}
	l.override(&p)
	return p
}

func (l *layer) child(name string) *layer {
	for _, v := range l.children {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (l *layer) names() []string {
	names := make([]string, 0, len(l.children))
	for _, v := range l.children {
		names = append(names, v.name)
	}
	return names
}
