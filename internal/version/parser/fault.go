package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is an error in a settings tree. A tree with a fault is rejected.
type Fault struct {
	// Path is the position in the tree: the keys from the root, joined by dots. It
	// is empty for a fault of the whole document.
	Path string
	// Line is the line of the document, counted from 1. It is 0 when the fault has
	// no line.
	Line int
	// Title is the class of the fault in a few words.
	Title string
	// Text describes the error and what is expected.
	Text string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	position := f.Path
	if position == "" {
		position = "document"
	}
	if f.Line > 0 {
		position = fmt.Sprintf("%s (line %d)", position, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s", position, f.Title, f.Text)
}

// Faults holds the faults of one document, ordered by line and path, at most
// maxFaults of them. It is not empty when it is returned as an error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, v := range f {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "\n")
}

// The classes of faults, used as Fault.Title.
const (
	TitleSize         = "document too large"
	TitleSyntax       = "not valid YAML"
	TitleStructure    = "wrong structure"
	TitleVersion      = "wrong version"
	TitleUnknownName  = "unknown name"
	TitleLevel        = "wrong level"
	TitleInvalidName  = "name not allowed"
	TitleDuplicate    = "duplicate key"
	TitleCycle        = "alias cycle"
	TitleInvalidValue = "invalid value"
	TitleBound        = "out of bounds"
	TitleConflict     = "impossible combination"
	TitleCount        = "too many entries"
)

// collector collects the faults of a document without duplicates.
type collector struct {
	faults Faults
	seen   map[Fault]bool
}

// add adds a fault. It ignores duplicates and any fault beyond maxFaults.
func (c *collector) add(path string, line int, title, format string, values ...any) {
	f := Fault{Path: path, Line: line, Title: title, Text: fmt.Sprintf(format, values...)}
	if c.seen[f] || len(c.faults) >= maxFaults {
		return
	}
	if c.seen == nil {
		c.seen = map[Fault]bool{}
	}
	c.seen[f] = true
	c.faults = append(c.faults, f)
}

// result returns the faults in order, or nil when there are none.
func (c *collector) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.SliceStable(c.faults, func(i, j int) bool {
		a, b := c.faults[i], c.faults[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Path < b.Path
	})
	return c.faults
}
