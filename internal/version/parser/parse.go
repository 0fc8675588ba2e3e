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

// Parse checks a published tree and resolves it. The error, if any, is Faults
// and lists every fault of the document.
func Parse(text []byte) (*resolver.Snapshot, error) {
	r := &reader{}
	version, root := r.document(text)
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

// Digest identifies a document's text.
func Digest(text []byte) uint64 { return xxhash.Sum64(text) }

// document reads the version and the layers; the root is nil when there are none.
func (r *reader) document(text []byte) (uint64, *layer) {
	if len(text) > MaxDocumentBytes {
		r.add("", 0, TitleSize, "%d bytes; at most %d are read", len(text), MaxDocumentBytes)
		return 0, nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			r.add("", 0, TitleVersion, "the document is empty")
			return 0, nil
		}
		r.add("", 0, TitleSyntax, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return 0, nil
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		r.add("", 0, TitleShape, "one YAML document is expected")
		return 0, nil
	}
	search := cycles{collector: &r.collector, marks: map[*yaml.Node]mark{}}
	if search.search(&document, "") {
		return 0, nil
	}
	if len(document.Content) == 0 {
		r.add("", 0, TitleVersion, "the document is empty")
		return 0, nil
	}
	node := resolve(document.Content[0])
	version := r.version(node)
	root := &layer{level: Root}
	r.layer(node, root)
	return version, root
}

// resolveTree fills a snapshot with the policies of a layer and all below it.
func (r *reader) resolveTree(l *layer, inherited resolver.Policy, s *resolver.Snapshot) {
	p := inherited
	l.override(&p)
	for _, v := range l.children {
		r.resolveTree(v, p, s)
	}
	key := resolver.Key{Place: p.Place, Service: p.Service, Kind: p.Kind}
	switch l.level {
	case Service:
		r.apply(l, &p)
		s.Services[key] = &p
	case Kind:
		r.apply(l, &p)
		s.Policies[key] = &p
	}
}

// override puts a layer's name and settings over the inherited ones.
func (l *layer) override(p *resolver.Policy) {
	switch l.level {
	case Place:
		p.Place = l.name
	case Service:
		p.Service = l.name
	case Kind:
		p.Kind = l.name
	}
	for _, v := range l.entries {
		v.record.field.set(p, v.value)
	}
}

// Version reads the version of a document that may have faults elsewhere; it
// is 0 when it cannot be read.
func Version(text []byte) uint64 {
	version, _ := (&reader{}).document(text)
	return version
}
