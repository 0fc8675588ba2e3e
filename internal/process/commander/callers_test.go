package commander

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCallersPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CALLERS.md")
	require.NoError(t, err)
	var printed bytes.Buffer
	require.NoError(t, writeCallers(&printed))
	require.Equal(t, printed.String(), string(page), "run: oriolecourse callers > docs/CALLERS.md")
}
