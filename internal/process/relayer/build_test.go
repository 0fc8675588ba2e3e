package relayer

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against builds that cannot be told apart in the log of a fleet that is being
// upgraded.
func TestBuildNameIsTheCommit(t *testing.T) {
	settings := func(pairs ...string) *debug.BuildInfo {
		b := &debug.BuildInfo{}
		for i := 0; i < len(pairs); i += 2 {
			b.Settings = append(b.Settings, debug.BuildSetting{Key: pairs[i], Value: pairs[i+1]})
		}
		return b
	}
	require.Equal(t, "01113c9ed8c4", buildName(settings("vcs.revision", "01113c9ed8c4e0b172a7", "vcs.modified", "false"), ""))
	require.Equal(t, "01113c9ed8c4+", buildName(settings("vcs.modified", "true", "vcs.revision", "01113c9ed8c4e0b172a7"), ""))
	require.Equal(t, "unknown", buildName(settings("GOOS", "linux"), ""))
	require.Equal(t, "abc", buildName(nil, "abc"))
	require.NotEmpty(t, BuildName())
}
