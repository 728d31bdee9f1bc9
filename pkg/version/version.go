// Package version provides the version of the programs.
package version

import "runtime/debug"

// Number is the version of this source tree.
const Number = "0.1.0"

// String returns Number, followed by + and the source revision if the build recorded
// one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Number + "+" + s.Value
		}
	}
	return Number
}
