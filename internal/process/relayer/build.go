package relayer

import "runtime/debug"

// commit is the commit of the program if the linker sets it, for builds without version
// control data.
var commit string

// unknownBuild is the name of a build that was made without version control.
const unknownBuild = "unknown"

// shortCommit is the length of the commit in the name of a build.
const shortCommit = 12

// BuildName returns the name of the build of this program: its commit, with "+" after it
// if the sources had changed since.
func BuildName() string {
	info, _ := debug.ReadBuildInfo()
	return buildName(info, commit)
}

func buildName(info *debug.BuildInfo, commit string) string {
	if info == nil {
		info = &debug.BuildInfo{}
	}
	changed := ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value[:min(shortCommit, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	if commit == "" {
		return unknownBuild
	}
	return commit + changed
}
