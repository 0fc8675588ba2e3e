package parser

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one reason why a settings tree is rejected.
type Fault struct {
	// Path leads to the place in the tree, names joined by dots; it is empty
	// for a fault of the whole document.
	Path string
	// Line is the line of the document, counted from 1; 0 when there is none.
	Line int
	// Title is the class of the fault in a few words.
	Title string
	// Text says what is wrong and what would be right.
	Text string
}

// String gives the fault on one line.
func (f Fault) String() string {
	where := f.Path
	if where == "" {
		where = "document"
	}
	if f.Line > 0 {
		where = fmt.Sprintf("%s (line %d)", where, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s", where, f.Title, f.Text)
}

// Faults lists every fault of one document, ordered by line and path. It is
// never empty when it is returned as an error.
type Faults []Fault

// Error gives one fault per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, v := range f {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "\n")
}

// The titles of faults.
const (
	TitleSize      = "document too large"
	TitleSyntax    = "not valid YAML"
	TitleShape     = "wrong shape"
	TitleVersion   = "wrong version"
	TitleName      = "unknown name"
	TitleLevel     = "wrong level"
	TitleLabel     = "name not allowed"
	TitleDuplicate = "duplicate key"
	TitleCycle     = "alias cycle"
	TitleUnit      = "wrong unit"
	TitleBound     = "out of bounds"
	TitleConflict  = "impossible combination"
	TitleCount     = "too many entries"
)

// collector gathers faults without repeating one.
type collector struct {
	faults Faults
	seen   map[Fault]bool
}

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

// result orders the faults; it is nil when there are none.
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
