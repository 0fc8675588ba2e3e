package parser

import (
	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// EffectiveSetting is one effective setting.
type EffectiveSetting struct {
	Name  string
	Value string
	// Source says where the value comes from: default, root, place, service or
	// kind, and what it was adapted to when it was.
	Source string
}

// Effective lists the settings of a kind, of a service when kind is empty, of a
// place when service is empty too, or of the root. The document must be valid.
func Effective(text []byte, place, service, kind string) ([]EffectiveSetting, error) {
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	r := &reader{}
	_, l := r.document(text)
	for _, v := range []string{place, service, kind} {
		if v == "" {
			break
		}
		child := l.child(v)
		if child == nil {
			return nil, trace.NotFound("the tree has no %s %q%s", shapes[l.level].next, v, suggestion(v, l.names()))
		}
		l = child
	}
	p := l.policy()
	r.apply(l, &p)
	lines := make([]EffectiveSetting, 0, len(Records))
	for i := range Records {
		lines = append(lines, l.line(&Records[i], &p))
	}
	return lines, nil
}

func (l *layer) line(r *Record, p *resolver.Policy) EffectiveSetting {
	value, level := r.preset, "default"
	if e, at := l.origin(r.Name); e != nil {
		value, level = e.value, at.String()
	}
	if now := r.field.get(p); now != value {
		level += ", adapted from " + r.form.write(value)
	}
	return EffectiveSetting{Name: r.Name, Value: written(r.Name, p), Source: level}
}

// policy resolves one layer from the root down.
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
