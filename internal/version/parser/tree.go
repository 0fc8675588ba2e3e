package parser

import (
	"regexp"
	"strconv"

	"gopkg.in/yaml.v3"
)

// Bounds of one document. They also bound what aliases can expand to.
const (
	// MaxDocumentBytes is the largest document in bytes; the platform holds no more.
	MaxDocumentBytes = 1 << 20
	// maxLayers is the number of places, services and kinds together.
	maxLayers = 20_000
	// maxPairs is the number of keys read, those behind aliases counted each time.
	maxPairs = 400_000
	// maxFaults is the number of faults listed.
	maxFaults = 1000
	// maxVersion keeps room above a version that was mistyped.
	maxVersion = 1_000_000_000_000_000
)

var (
	labelShape   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	versionShape = regexp.MustCompile(`^[0-9]{1,16}$`)
)

// entry is one setting as it stands at a layer.
type entry struct {
	record *Record
	value  float64
	path   string
	line   int
}

// layer is one place, service or kind of the tree, or its root.
type layer struct {
	level    Level
	name     string
	path     string
	parent   *layer
	entries  []entry
	children []*layer
}

// shape says which keys a layer has.
type shape struct {
	// settings is the key that holds settings; empty when they stand directly.
	settings string
	// children is the key that holds the next level; empty at the last one.
	children string
	next     Level
	// others are further keys.
	others []string
}

var shapes = map[Level]shape{
	Root:    {settings: "settings", children: "places", next: Place, others: []string{"version"}},
	Place:   {settings: "settings", children: "services", next: Service},
	Service: {settings: "settings", children: "kinds", next: Kind},
	Kind:    {},
}

// reader walks the nodes of one document.
type reader struct {
	collector
	layers, pairs int
}

// pair is one key of a mapping and its value, aliases resolved.
type pair struct {
	key   string
	path  string
	line  int
	value *yaml.Node
}

// resolve follows aliases; cycles were refused before.
func resolve(n *yaml.Node) *yaml.Node {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	return n
}

func isNull(n *yaml.Node) bool {
	return n.Kind == yaml.ScalarNode && n.Tag == "!!null"
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// mapping lists the keys of a mapping. An empty value counts as an empty mapping.
func (r *reader) mapping(n *yaml.Node, path string) []pair {
	n = resolve(n)
	if isNull(n) {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		r.add(path, n.Line, TitleShape, "names with values are expected here, as in {name: value}")
		return nil
	}
	pairs := make([]pair, 0, len(n.Content)/2)
	lines := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		if r.pairs++; r.pairs > maxPairs {
			r.add("", 0, TitleCount, "more than %d keys, those behind aliases counted each time", maxPairs)
			return nil
		}
		key := resolve(n.Content[i])
		if key.Kind != yaml.ScalarNode {
			r.add(path, key.Line, TitleShape, "a key must be a name")
			continue
		}
		p := pair{key: key.Value, path: join(path, key.Value), line: key.Line, value: resolve(n.Content[i+1])}
		if first, ok := lines[p.key]; ok {
			r.add(p.path, p.line, TitleDuplicate, "the key stands already in line %d", first)
			continue
		}
		lines[p.key] = p.line
		pairs = append(pairs, p)
	}
	return pairs
}

// layer reads one layer and all below it.
func (r *reader) layer(n *yaml.Node, l *layer) {
	if r.layers++; r.layers > maxLayers {
		r.add("", 0, TitleCount, "more than %d places, services and kinds", maxLayers)
		return
	}
	s := shapes[l.level]
	if s.settings == "" {
		r.settings(n, l.path, l)
		return
	}
	for _, p := range r.mapping(n, l.path) {
		switch {
		case p.key == s.settings:
			r.settings(p.value, p.path, l)
		case p.key == s.children:
			r.children(p.value, p.path, s.next, l)
		case !contains(s.others, p.key):
			r.unknownKey(p, l.level, append([]string{s.settings, s.children}, s.others...))
		}
	}
}

func (r *reader) children(n *yaml.Node, path string, level Level, parent *layer) {
	for _, p := range r.mapping(n, path) {
		if !labelShape.MatchString(p.key) {
			r.add(p.path, p.line, TitleLabel, "the name of a %s has 1 to 64 of a-z, 0-9 and -", level)
			continue
		}
		child := &layer{level: level, name: p.key, path: p.path, parent: parent}
		parent.children = append(parent.children, child)
		r.layer(p.value, child)
	}
}

func (r *reader) settings(n *yaml.Node, path string, l *layer) {
	for _, p := range r.mapping(n, path) {
		v, ok := recordsByName[p.key]
		if !ok {
			r.unknownSetting(p)
			continue
		}
		if v.Levels&l.level == 0 {
			r.add(p.path, p.line, TitleLevel, "%s may stand at: %s; this is a %s", p.key, v.Levels, l.level)
			continue
		}
		if value, ok := r.value(p, v); ok {
			l.entries = append(l.entries, entry{record: v, value: value, path: p.path, line: p.line})
		}
	}
}

func (r *reader) value(p pair, v *Record) (float64, bool) {
	if p.value.Kind != yaml.ScalarNode {
		r.add(p.path, p.line, TitleShape, "one value is expected: %s", v.Hint())
		return 0, false
	}
	value, ok := v.form.read(p.value.Value)
	if !ok {
		r.add(p.path, p.line, TitleUnit, "%q is not a %s; write %s", p.value.Value, v.Unit(), v.Hint())
		return 0, false
	}
	if v.Least != "" && (value < v.least || value > v.most) {
		r.add(p.path, p.line, TitleBound, "%s is outside %s to %s", p.value.Value, v.Least, v.Most)
		return 0, false
	}
	return value, true
}

func (r *reader) unknownSetting(p pair) {
	names := make([]string, 0, len(Records))
	for i := range Records {
		names = append(names, Records[i].Name)
	}
	r.add(p.path, p.line, TitleName, "there is no setting %q%s", p.key, suggestion(p.key, names))
}

func (r *reader) unknownKey(p pair, level Level, names []string) {
	text := suggestion(p.key, names)
	if _, ok := recordsByName[p.key]; ok {
		text = "; it is a setting and stands under settings"
	}
	r.add(p.path, p.line, TitleName, "a %s has no key %q%s", level, p.key, text)
}

// version reads the version of the document.
func (r *reader) version(root *yaml.Node) uint64 {
	for i := 0; root.Kind == yaml.MappingNode && i+1 < len(root.Content); i += 2 {
		n := resolve(root.Content[i+1])
		if resolve(root.Content[i]).Value != "version" {
			continue
		}
		v, err := strconv.ParseUint(n.Value, 10, 64)
		if n.Kind != yaml.ScalarNode || !versionShape.MatchString(n.Value) || err != nil || v == 0 || v > maxVersion {
			r.add("version", n.Line, TitleVersion, "a whole number from 1 to %d is expected", uint64(maxVersion))
			return 0
		}
		return v
	}
	r.add("version", 0, TitleVersion, "missing; each published tree needs a higher number than the one before")
	return 0
}

func contains(names []string, name string) bool {
	for _, v := range names {
		if v == name {
			return true
		}
	}
	return false
}
