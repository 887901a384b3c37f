// Package residency decides which adapters a target's engine holds.
//
// Each adapter version that the engine holds, or is about to, goes through a
// state machine: absent, loading, resident, unloading. A request that runs
// pins its adapter; a pinned adapter is never unloaded. A Table never holds
// more adapters than the engine has room for, loading and unloading ones
// included.
//
// The package does no input or output: it says what to load and unload, and is
// told what became of it.
//
// # Usage
//
//	t := residency.New(8)
//	switch step := t.Want(now, id); step.Kind {
//	case residency.Ready:
//		t.Pin(now, id)
//	case residency.Load:
//		// order the engine to load id, then call t.Loaded or t.LoadFailed
//	case residency.Unload:
//		// order the engine to unload step.Victim, then call t.Unloaded
//	}
package residency
