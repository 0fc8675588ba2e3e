package parser

import (
	"strings"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Level is a set of levels of the tree.
type Level uint8

// The levels, from the one all others inherit from to the most specific.
const (
	Root Level = 1 << iota
	Place
	Service
	Kind
)

const (
	placeLevels   = Root | Place
	serviceLevels = Root | Place | Service
	allLevels     = Root | Place | Service | Kind
)

var levelNames = []struct {
	level Level
	name  string
}{{Root, "root"}, {Place, "place"}, {Service, "service"}, {Kind, "kind"}}

// String names the levels of the set.
func (l Level) String() string {
	var names []string
	for _, v := range levelNames {
		if l&v.level != 0 {
			names = append(names, v.name)
		}
	}
	return strings.Join(names, ", ")
}

// Record describes one setting. It drives the check, the inheritance, the
// listing of effective values and the reference page.
type Record struct {
	// Name is the one word that stands in the tree; it is unique.
	Name string
	// Levels holds the levels at which the setting may stand.
	Levels Level
	// Default is the value when no level sets one, written as in the tree.
	Default string
	// Least and Most bound the value, written as in the tree; empty for choices.
	Least, Most string
	// Title says in one line what the setting is.
	Title string
	// Text says what it does and how to choose it.
	Text string
	// Example is a value that Himal or Steadyhand would write.
	Example string

	form  *form
	field field
	// preset, least and most are Default, Least and Most as numbers.
	preset, least, most float64
}

// Unit names how the value is written.
func (r *Record) Unit() string { return r.form.name }

// Hint says how to write a value.
func (r *Record) Hint() string { return r.form.hint }

// field reads and writes one field of a policy.
type field struct {
	get func(p *resolver.Policy) float64
	set func(p *resolver.Policy, value float64)
}

// number is the field at the address that at returns.
func number[T ~int | ~int64 | ~float64](at func(p *resolver.Policy) *T) field {
	return field{
		get: func(p *resolver.Policy) float64 { return float64(*at(p)) },
		set: func(p *resolver.Policy, value float64) { *at(p) = T(value) },
	}
}

// flag is the boolean field at the address that at returns.
func flag(at func(p *resolver.Policy) *bool) field {
	return field{
		get: func(p *resolver.Policy) float64 {
			if *at(p) {
				return 1
			}
			return 0
		},
		set: func(p *resolver.Policy, value float64) { *at(p) = value != 0 },
	}
}

var recordsByName = map[string]*Record{}

func init() {
	for i := range Records {
		r := &Records[i]
		r.preset = r.mustRead(r.Default)
		if r.Least != "" {
			r.least, r.most = r.mustRead(r.Least), r.mustRead(r.Most)
		}
		recordsByName[r.Name] = r
	}
}

// mustRead reads a value of the table itself; a wrong one is a fault of the program.
func (r *Record) mustRead(text string) float64 {
	v, ok := r.form.read(text)
	if !ok {
		panic("settings record " + r.Name + " holds the value " + text)
	}
	return v
}

// defaults gives a policy with the default of every setting.
func defaults() resolver.Policy {
	var p resolver.Policy
	for i := range Records {
		Records[i].field.set(&p, Records[i].preset)
	}
	return p
}
