package parser

import (
	"regexp"
	"strconv"

	"gopkg.in/yaml.v3"
)

// Bounds of one document. They also bound the size to which aliases expand.
const (
	// MaxDocumentBytes is the size of the largest document in bytes. The platform does
	// not store larger ones.
	MaxDocumentBytes = 1 << 20
	// maxLayers is the maximum number of layers: root, places, services and kinds.
	// The layers behind an alias count each time the alias is used. The largest tree of
	// BenchmarkParse has 6306 layers.
	maxLayers = 20_000
	// maxKeys is the maximum number of keys. The keys behind an alias count each
	// time the alias is used.
	maxKeys = 400_000
	// maxFaults is the maximum number of faults that are reported. It bounds the error
	// for a document that is wrong everywhere.
	maxFaults = 1000
	// maxVersion is far below the largest uint64, so that higher versions remain
	// after a mistyped version has been published.
	maxVersion = 1_000_000_000_000_000
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	versionPattern = regexp.MustCompile(`^[0-9]{1,16}$`)
)

// setting is one setting with the value that a layer sets.
type setting struct {
	record *Record
	value  float64
	path   string
	line   int
}

// layer is one node of the tree: the root, a place, a service or a kind.
type layer struct {
	level    Level
	name     string
	path     string
	parent   *layer
	settings []setting
	children []*layer
}

// layerKeys holds the keys that a layer may have.
type layerKeys struct {
	// settingsKey is the key above the settings. It is empty when the layer holds
	// the settings directly.
	settingsKey string
	// childrenKey is the key above the layers of the next level. It is empty at
	// the last level.
	childrenKey string
	childLevel  Level
	otherKeys   []string
}

var keysOfLevel = map[Level]layerKeys{
	Root:    {settingsKey: "settings", childrenKey: "places", childLevel: Place, otherKeys: []string{"version"}},
	Place:   {settingsKey: "settings", childrenKey: "services", childLevel: Service},
	Service: {settingsKey: "settings", childrenKey: "kinds", childLevel: Kind},
	Kind:    {},
}

// reader reads one document and collects its faults.
type reader struct {
	collector
	layerCount, keyCount int
}

// pair is one key of a mapping and its value, with aliases resolved.
type pair struct {
	key   string
	path  string
	line  int
	value *yaml.Node
}

// resolve follows aliases. It terminates because documents with alias cycles are
// rejected earlier.
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

// readMapping returns the pairs of a mapping. A null value counts as an empty mapping.
func (r *reader) readMapping(n *yaml.Node, path string) []pair {
	n = resolve(n)
	if isNull(n) {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		r.add(path, n.Line, TitleStructure, "expected a mapping, as in {name: value}")
		return nil
	}
	pairs := make([]pair, 0, len(n.Content)/2)
	lines := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		if r.keyCount++; r.keyCount > maxKeys {
			r.add("", 0, TitleCount, "more than %d keys; the keys behind an alias count each time it is used", maxKeys)
			return nil
		}
		key := resolve(n.Content[i])
		if key.Kind != yaml.ScalarNode {
			r.add(path, key.Line, TitleStructure, "expected a plain name as the key")
			continue
		}
		p := pair{key: key.Value, path: join(path, key.Value), line: key.Line, value: resolve(n.Content[i+1])}
		if first, ok := lines[p.key]; ok {
			r.add(p.path, p.line, TitleDuplicate, "the key is already set in line %d", first)
			continue
		}
		lines[p.key] = p.line
		pairs = append(pairs, p)
	}
	return pairs
}

// readLayer reads one layer and all layers below it.
func (r *reader) readLayer(n *yaml.Node, l *layer) {
	if r.layerCount++; r.layerCount > maxLayers {
		r.add("", 0, TitleCount, "more than %d layers (root, places, services and kinds); the layers behind an alias count each time it is used", maxLayers)
		return
	}
	keys := keysOfLevel[l.level]
	if keys.settingsKey == "" {
		r.readSettings(n, l.path, l)
		return
	}
	for _, p := range r.readMapping(n, l.path) {
		switch {
		case p.key == keys.settingsKey:
			r.readSettings(p.value, p.path, l)
		case p.key == keys.childrenKey:
			r.readChildren(p.value, p.path, keys.childLevel, l)
		case !contains(keys.otherKeys, p.key):
			r.unknownKey(p, l.level, append([]string{keys.settingsKey, keys.childrenKey}, keys.otherKeys...))
		}
	}
}

func (r *reader) readChildren(n *yaml.Node, path string, level Level, parent *layer) {
	for _, p := range r.readMapping(n, path) {
		if !namePattern.MatchString(p.key) {
			r.add(p.path, p.line, TitleInvalidName, "the name of a %s must have 1 to 64 characters of a-z, 0-9 and -, and must not begin with -", level)
			continue
		}
		child := &layer{level: level, name: p.key, path: p.path, parent: parent}
		parent.children = append(parent.children, child)
		r.readLayer(p.value, child)
	}
}

func (r *reader) readSettings(n *yaml.Node, path string, l *layer) {
	for _, p := range r.readMapping(n, path) {
		v, ok := recordsByName[p.key]
		if !ok {
			r.unknownSetting(p)
			continue
		}
		if v.Levels&l.level == 0 {
			r.add(p.path, p.line, TitleLevel, "%s is allowed at: %s; this is a %s", p.key, v.Levels, l.level)
			continue
		}
		if value, ok := r.readValue(p, v); ok {
			l.settings = append(l.settings, setting{record: v, value: value, path: p.path, line: p.line})
		}
	}
}

func (r *reader) readValue(p pair, v *Record) (float64, bool) {
	if p.value.Kind != yaml.ScalarNode {
		r.add(p.path, p.line, TitleStructure, "expected a single value: %s", v.Hint())
		return 0, false
	}
	value, ok := v.format.read(p.value.Value)
	if !ok {
		r.add(p.path, p.line, TitleInvalidValue, "%q is not a valid %s value; expected %s", p.value.Value, v.Unit(), v.Hint())
		return 0, false
	}
	if v.Min != "" && (value < v.minValue || value > v.maxValue) {
		r.add(p.path, p.line, TitleBound, "%s is outside %s to %s", p.value.Value, v.Min, v.Max)
		return 0, false
	}
	return value, true
}

func (r *reader) unknownSetting(p pair) {
	names := make([]string, 0, len(Records))
	for i := range Records {
		names = append(names, Records[i].Name)
	}
	r.add(p.path, p.line, TitleUnknownName, "there is no setting %q%s", p.key, suggestion(p.key, names))
}

func (r *reader) unknownKey(p pair, level Level, names []string) {
	hint := suggestion(p.key, names)
	if _, ok := recordsByName[p.key]; ok {
		hint = "; it is a setting, which belongs under the key settings"
	}
	r.add(p.path, p.line, TitleUnknownName, "a %s has no key %q%s", level, p.key, hint)
}

// readVersion reads the version of the document. It returns 0 after a fault.
func (r *reader) readVersion(root *yaml.Node) uint64 {
	for i := 0; root.Kind == yaml.MappingNode && i+1 < len(root.Content); i += 2 {
		n := resolve(root.Content[i+1])
		if resolve(root.Content[i]).Value != "version" {
			continue
		}
		v, err := strconv.ParseUint(n.Value, 10, 64)
		if n.Kind != yaml.ScalarNode || !versionPattern.MatchString(n.Value) || err != nil || v == 0 || v > maxVersion {
			r.add("version", n.Line, TitleVersion, "expected a whole number from 1 to %d", uint64(maxVersion))
			return 0
		}
		return v
	}
	r.add("version", 0, TitleVersion, "missing; each published tree needs a higher version than the previous one")
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
