// Package configuration holds what operators accepted: the teams, their
// services, adapters with versions, and lending terms.
//
// A Configuration is immutable. It is put together from sections that are
// named by their digest, and a root that lists the sections of one revision;
// moving the root by one conditional write accepts a revision as a whole.
//
// # Usage
//
// A request is resolved against one Configuration throughout:
//
//	team, ok := cfg.TeamByKey(configuration.DigestKey(bearer))
//	ad, ref, ok := cfg.Resolve(team.Name, adapter.Ref{Name: "notices"})
package configuration
