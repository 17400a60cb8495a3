// Package buildinfo tells which build of the project a program is.
package buildinfo

import "runtime/debug"

// revisionLength is the shown part of a commit hash.
const revisionLength = 12

// Version returns the module version, or the commit of a build from a checkout, with
// "+changes" if the checkout had changes; "unknown" without either.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
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
		return revision + changes
	}
	if version := info.Main.Version; version != "" && version != "(devel)" {
		return version
	}
	return "unknown"
}
