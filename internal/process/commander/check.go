package commander

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"oriolecourse.example/oriolecourse/internal/version/parser"
	"oriolecourse.example/oriolecourse/internal/version/resolver"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings tree before it is published and explain each fault",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, arguments []string) error {
			return check(arguments[0], c.OutOrStdout())
		},
	}
}

func check(file string, out io.Writer) error {
	var text []byte
	var err error
	if text, err = os.ReadFile(file); err != nil {
		return trace.ConvertSystemError(err)
	}
	var s *resolver.Snapshot
	if s, err = parser.Parse(text); err == nil {
		return writeSummary(file, s, out)
	}
	var faults parser.Faults
	if !errors.As(err, &faults) {
		return trace.Wrap(err)
	}
	for _, f := range faults {
		if err := writeFault(file, f, out); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.BadParameter("%s has %s; no instance would accept it", file, quantity(len(faults), "fault"))
}

// writeFault writes a fault in the format of compiler errors, so that editors can jump to
// the line.
func writeFault(file string, f parser.Fault, out io.Writer) error {
	where, path := file, f.Path
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d", file, f.Line)
	}
	if path == "" {
		path = "the document"
	}
	_, err := fmt.Fprintf(out, "%s: %s\n    %s: %s\n", where, path, f.Title, f.Text)
	return trace.Wrap(err)
}

func writeSummary(file string, s *resolver.Snapshot, out io.Writer) error {
	places := map[string]bool{}
	for k := range s.Services {
		places[k.Place] = true
	}
	_, err := fmt.Fprintf(out, "%s: ok, version %d, digest %016x, %s, %s, %s\n", file, s.Version, s.Digest,
		quantity(len(places), "place"), quantity(len(s.Services), "service"), quantity(len(s.Policies), "kind"))
	return trace.Wrap(err)
}

// quantity returns n with the noun in the singular or plural.
func quantity(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
