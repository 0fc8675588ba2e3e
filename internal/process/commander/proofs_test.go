package commander

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProofsPageNamesTests guards against a test that is renamed or removed while
// docs/PROOFS.md still names it.
func TestProofsPageNamesTests(t *testing.T) {
	page, err := os.ReadFile("../../../docs/PROOFS.md")
	require.NoError(t, err)
	var code strings.Builder
	err = filepath.WalkDir("../../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		code.Write(text)
		return err
	})
	require.NoError(t, err)
	named := regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1)
	require.NotEmpty(t, named)
	for _, found := range named {
		require.True(t, strings.Contains(code.String(), "func "+found[1]+"("), "docs/PROOFS.md names %s, which does not exist", found[1])
	}
}
