// Package adapter names LoRA adapters and their versions.
//
// An adapter is known by its name within the team that owns it; a Ref adds the
// version. Two versions of one adapter are different things to load, to route
// to and to answer with, so every layer below name resolution speaks of a Ref,
// never of a bare name.
//
// # Usage
//
// Callers write "name@version", or "name" for the version in force:
//
//	ref, err := adapter.ParseRef("renewal-notices@3")
//	if err != nil {
//		return err
//	}
//	if !ref.HasVersion() {
//		ref.Version = current
//	}
package adapter
