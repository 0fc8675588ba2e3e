package commander

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"oriolecourse.example/oriolecourse/internal/process/journaler"
)

// logLine matches a call that logs a line with msg as its first field, and captures the
// message. It does not find calls with another first field.
var logLine = regexp.MustCompile(`Log\("msg", "([^"]+)"`)

func TestOperationsPageKnowsFlagsAndLogLines(t *testing.T) {
	text, err := os.ReadFile("../../../docs/OPERATIONS.md")
	require.NoError(t, err)
	page := string(text)
	for _, o := range serveOptions {
		require.Contains(t, page, "`--"+o.name+"`", "docs/OPERATIONS.md does not name the flag")
	}
	// docs/LOGS.md describes the lines of an instance on a platform. It is printed from
	// journaler.LineKinds, and a test of package platform compares it.
	require.Contains(t, page, "(LOGS.md)")
	described := map[string]bool{}
	for _, l := range journaler.LineKinds {
		described[l.Message] = true
	}
	lines := 0
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, match := range logLine.FindAllStringSubmatch(string(code), -1) {
			lines++
			if described[match[1]] {
				continue
			}
			require.Contains(t, page, "`"+match[1]+"`", "docs/OPERATIONS.md does not explain the line logged in %s", path)
		}
		return err
	})
	require.NoError(t, err)
	require.Positive(t, lines)
}
