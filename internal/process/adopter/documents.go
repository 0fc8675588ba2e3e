package adopter

import (
	"github.com/gravitational/trace"

	"oriolecourse.example/oriolecourse/internal/version/lister"
	"oriolecourse.example/oriolecourse/internal/version/parser"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

// NewSettings returns an adopter of settings trees.
func NewSettings() *Adopter[resolver.Snapshot] {
	return &Adopter[resolver.Snapshot]{Check: checkSettings}
}

// NewList returns an adopter of lists of instances and targets.
func NewList() *Adopter[lister.List] {
	return &Adopter[lister.List]{Check: checkList}
}

func checkSettings(text []byte) (*resolver.Snapshot, uint64, error) {
	s, err := parser.Parse(text)
	if err != nil {
		return nil, parser.Version(text), err
	}
	return s, s.Version, nil
}

func checkList(text []byte) (*lister.List, uint64, error) {
	if len(text) > parser.MaxDocumentBytes {
		return nil, 0, trace.LimitExceeded("the list has %d bytes, which is more than the limit of %d bytes", len(text), parser.MaxDocumentBytes)
	}
	l, err := lister.Decode(text)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	if l.Revision == 0 {
		return nil, 0, trace.BadParameter("the list's revision is missing or 0; it must be at least 1")
	}
	return l, l.Revision, nil
}
