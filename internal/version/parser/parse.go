package parser

import (
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"gopkg.in/yaml.v3"

	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// Parse checks a published tree and computes its policies. A non-nil error is of
// type Faults and lists the faults of the document.
func Parse(text []byte) (*resolver.Snapshot, error) {
	r := &reader{}
	version, root := r.readDocument(text)
	s := &resolver.Snapshot{
		Version:  version,
		Digest:   Digest(text),
		Text:     bytes.Clone(text),
		Policies: map[resolver.Key]*resolver.Policy{},
		Services: map[resolver.Key]*resolver.Policy{},
	}
	if root != nil {
		r.resolveTree(root, defaults(), s)
	}
	if err := r.result(); err != nil {
		return nil, err
	}
	return s, nil
}

// Digest returns the xxHash64 of a document's text, which identifies the text.
func Digest(text []byte) uint64 { return xxhash.Sum64(text) }

// readDocument reads the version and the layers. The root is nil when a fault of the
// whole document prevents that.
func (r *reader) readDocument(text []byte) (uint64, *layer) {
	if len(text) > MaxDocumentBytes {
		r.add("", 0, TitleSize, "the document has %d bytes; at most %d are allowed", len(text), MaxDocumentBytes)
		return 0, nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			r.add("", 0, TitleVersion, "the document is empty; expected a mapping with the key version")
			return 0, nil
		}
		r.add("", 0, TitleSyntax, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return 0, nil
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		r.add("", 0, TitleStructure, "the text continues after the first YAML document; expected exactly one document")
		return 0, nil
	}
	search := cycleSearch{collector: &r.collector, states: map[*yaml.Node]visitState{}}
	if search.find(&document, "") {
		return 0, nil
	}
	if len(document.Content) == 0 {
		r.add("", 0, TitleVersion, "the document is empty; expected a mapping with the key version")
		return 0, nil
	}
	node := resolve(document.Content[0])
	version := r.readVersion(node)
	root := &layer{level: Root}
	r.readLayer(node, root)
	return version, root
}

// resolveTree adds the policies of a layer and of all layers below it to a snapshot.
func (r *reader) resolveTree(l *layer, inherited resolver.Policy, s *resolver.Snapshot) {
	p := inherited
	l.override(&p)
	for _, v := range l.children {
		r.resolveTree(v, p, s)
	}
	key := resolver.Key{Place: p.Place, Service: p.Service, Kind: p.Kind}
	switch l.level {
	case Service:
		r.applyRules(l, &p)
		s.Services[key] = &p
	case Kind:
		r.applyRules(l, &p)
		s.Policies[key] = &p
	}
}

// override sets the layer's name and settings in a policy that holds the inherited
// values.
func (l *layer) override(p *resolver.Policy) {
	switch l.level {
	case Place:
		p.Place = l.name
	case Service:
		p.Service = l.name
	case Kind:
		p.Kind = l.name
	}
	for _, v := range l.settings {
		v.record.field.set(p, v.value)
	}
}

// Version returns the version of a document, which may have faults elsewhere. It
// returns 0 when the version cannot be read.
func Version(text []byte) uint64 {
	version, _ := (&reader{}).readDocument(text)
	return version
}
