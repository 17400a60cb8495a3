// Package buildinfo returns the version of the running program.
package buildinfo

import "runtime/debug"

// revisionLength is the number of characters of the commit hash in a version.
const revisionLength = 12

// Release is the number of the release under development.
const Release = "0.1.0"

// Version returns the release and the commit hash for a build from a checkout, with
// "+changes" if the checkout had uncommitted changes. For other builds it returns the module
// version, or the release alone if there is none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	revision, changes := "", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(revisionLength, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changes = "+changes"
		}
	}
	if revision != "" {
		return Release + "-" + revision + changes
	}
	if version := info.Main.Version; version != "" && version != "(devel)" {
		return version
	}
	return Release
}
