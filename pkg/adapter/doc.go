// Package adapter defines the names of LoRA adapters and of their versions.
//
// An adapter's name is unique within the team that owns it; a Ref adds the
// version. Two versions of an adapter have different weights and are loaded,
// routed to and reported in responses as separate entities, so every layer
// below name resolution uses a Ref, never a bare name.
//
// # Usage
//
// Callers write "name@version", or "name" for the current version:
//
//	ref, err := adapter.ParseRef("renewal-notices@3")
//	if err != nil {
//		return err
//	}
//	if !ref.HasVersion() {
//		ref.Version = current
//	}
package adapter
