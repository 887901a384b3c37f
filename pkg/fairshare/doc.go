// Package fairshare tells which workspaces use more than their fair share of the engine
// time behind one process.
//
// The workload it addresses: 16 workspaces share 40 engines through 21 processes, each of
// which gets some 40 requests a second with prompts of 600 to 9,000 tokens. One workspace
// sends 8 times its usual load for minutes, or repeats at once whatever is rejected. The
// other 15 have to keep the engine time that they had before, and the busy one has to be
// served with what they leave, at least a quarter as often as all are.
//
// The engine time that workspaces ask for (Offer) and get (Use) is summed with
// exponential decay. The division is max-min fair: what all got is divided so that
// workspaces that ask for little get all of it, and the others equal parts, the level.
// Whoever got the level is above its share, and before anything is rejected whoever got
// much more than an equal part. A workspace that asks for nothing lends its
// part; when it returns it is below the level with its first request, and the others are
// above it as soon as they get less than they ask for. Asking for more, or more often,
// does not change the level of the others.
//
// The package decides nothing about contention: a workspace above its share takes
// nothing from others while there is capacity for all.
//
// # Usage
//
//	s := fairshare.New()
//	s.Offer(now, "team-a", cost)                        // a request arrived
//	if contended && s.Standing(now, "team-a") == fairshare.Above {
//		return rejected
//	}
//	s.Use(now, "team-a", cost)                          // it was sent to an engine
package fairshare
