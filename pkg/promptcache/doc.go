// Package promptcache estimates which prefix of a prompt an engine still has cached, so
// that it need not read those tokens again.
//
// It addresses deployments in which prompts for the same model, adapter and version begin
// with the same segments, and engines keep the segments of ended requests until they need
// the memory. The engines report nothing of it. The estimate follows from what was sent
// there: an engine reuses a segment only if all segments before it are cached, evicts the
// least recently used tokens first, and shares its memory with running requests.
//
// A Cache holds a bounded number of prefixes. What other processes send to the engine is
// accounted for by this process's share of its requests. As the share is not exact, a
// prefix counts for less the longer it was not used.
//
// # Usage
//
//	p := promptcache.NewPrompt(root, segments)
//	saved := cache.Held(now, p, capacity-running) // tokens
//	cache.Record(now, p, promptTokens, share)     // once the engine has read the prompt
package promptcache
