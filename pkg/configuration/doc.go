// Package configuration defines the configuration that operators accept: the
// teams, their services, their adapters with versions, and the capacity that
// they lend to other teams.
//
// A Configuration is immutable and has a revision number. It is stored as
// content-addressed sections, each keyed by its SHA-256 digest, and a root that
// lists the sections of one revision. Replacing the root with a single
// conditional write accepts a revision atomically.
//
// # Usage
//
// Each request is resolved against one Configuration from start to end:
//
//	team, ok := cfg.TeamByKey(configuration.DigestKey(bearer))
//	ad, ref, ok := cfg.Resolve(team.Name, adapter.Ref{Name: "notices"})
package configuration
