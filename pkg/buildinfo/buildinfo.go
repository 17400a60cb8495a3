// Package buildinfo tells which build of the project a program is.
package buildinfo

import "runtime/debug"

// revisionLength is the shown part of a commit hash.
const revisionLength = 12

// Release is the number of the release that the sources lead to.
const Release = "0.1.0"

// Version returns the module version, or the release with the commit of a build from a
// checkout, with "+changes" if the checkout had changes; the release alone without either.
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
