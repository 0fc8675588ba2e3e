package parser

import (
	"strings"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Level is one level of the tree, or a bit set of levels.
type Level uint8

// The levels, from the most general to the most specific.
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

// Record describes one setting. The check, the inheritance, the listing of
// effective values and the reference page use it.
type Record struct {
	// Name is the key of the setting in the tree: one word, unique.
	Name string
	// Levels holds the levels at which the setting is allowed.
	Levels Level
	// Default is the value that holds when no level sets one, written as in the tree.
	Default string
	// Min and Max bound the value, written as in the tree. Both are empty for choices.
	Min, Max string
	// Title describes the setting in one line.
	Title string
	// Text explains what the setting does and how to choose its value.
	Text string
	// Example is a value that a customer of the example trees might set.
	Example string

	format *valueFormat
	field  policyField
	// defaultValue, minValue and maxValue are Default, Min and Max as numbers.
	defaultValue, minValue, maxValue float64
}

// Unit returns the name of the value's format, such as duration.
func (r *Record) Unit() string { return r.format.name }

// Hint describes how to write a value.
func (r *Record) Hint() string { return r.format.hint }

// policyField reads and writes one field of a policy as a number.
type policyField struct {
	get func(p *resolver.Policy) float64
	set func(p *resolver.Policy, value float64)
}

// numberField gives access to the numeric field whose address at returns.
func numberField[T ~int | ~int64 | ~float64](at func(p *resolver.Policy) *T) policyField {
	return policyField{
		get: func(p *resolver.Policy) float64 { return float64(*at(p)) },
		set: func(p *resolver.Policy, value float64) { *at(p) = T(value) },
	}
}

// boolField gives access to the boolean field whose address at returns. The
// values are 0 for false and 1 for true.
func boolField(at func(p *resolver.Policy) *bool) policyField {
	return policyField{
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
		r.defaultValue = r.mustRead(r.Default)
		if r.Min != "" {
			r.minValue, r.maxValue = r.mustRead(r.Min), r.mustRead(r.Max)
		}
		recordsByName[r.Name] = r
	}
}

// mustRead reads a value of Records. It panics on an invalid value, since that
// is an error in the program.
func (r *Record) mustRead(text string) float64 {
	v, ok := r.format.read(text)
	if !ok {
		panic("settings record " + r.Name + " holds the invalid value " + text)
	}
	return v
}

// defaults returns a policy with the default of every setting.
func defaults() resolver.Policy {
	var p resolver.Policy
	for i := range Records {
		Records[i].field.set(&p, Records[i].defaultValue)
	}
	return p
}
