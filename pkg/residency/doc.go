// Package residency manages the cache of adapters on a target's engine: which
// adapters are resident, and which one is evicted to make room for another.
//
// Each adapter version that the engine holds or is about to hold goes through a
// state machine: absent, loading, resident, unloading. A running request pins
// its adapter; a pinned adapter is never unloaded. A Table never contains more
// adapters than the engine has slots for, including those being loaded or
// unloaded.
//
// The package does no I/O: it returns the loads and unloads to
// perform, and the caller reports their results.
//
// # Usage
//
//	t := residency.New(8)
//	switch step := t.Prepare(now, id); step.Kind {
//	case residency.Ready:
//		t.Pin(now, id)
//	case residency.Load:
//		// order the engine to load id, then call t.Loaded or t.LoadFailed
//	case residency.Unload:
//		// order the engine to unload step.Victim, then call t.Unloaded
//	}
package residency
