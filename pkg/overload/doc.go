// Package overload decides whether a request is admitted to a service under load, or
// rejected at once with the time at which there will be capacity.
//
// The workload it addresses: services get up to three times the load that their engines
// take, in classes of different urgency, with prompts of 646 and 9,190 tokens and
// objectives of 500 ms to 2 s. Callers leave after four objectives, and return after the
// stated time. A request that waits for longer than its caller takes a place for nothing;
// one that is rejected while there is capacity is lost for nothing.
//
// A request is admitted if a target is free for it, whatever else is known. Otherwise its
// forecast wait is compared with limits:
//
//   - what its caller waits, less the time to read the prompt itself;
//   - for workspaces above their share, a part of the objective, so that the others are
//     still served on time; while requests are rejected because of it, a part of their limit
//     for less urgent classes of workspaces above their share;
//   - while requests of a class are rejected because of the first limit, a part of theirs
//     for the same class, and a part of theirs or of their objective for less urgent ones. So a more urgent class is rejected no
//     more often than a less urgent one, whatever their callers wait, and long prompts and
//     callers that have waited before are served as well as the others of their class.
//
// Each limit bounds the backlog, which the targets still work off: no target idles
// because of them. Starved workspaces have only the first limit.
//
// Retry-After is the time until the backlog has fallen to the limit, after the callers of
// the class that were told to return before. Nothing tells how long a caller that returns
// has waited, so it has the same limits as newcomers; a random part spreads the callers so
// that they don't meet.
//
// # Usage
//
//	c := overload.New()
//	d := c.Decide(now, "service", request, forecast, rand.Float64())
//	if d.Reason != overload.Admitted {
//		reject(d.RetryAfter)
//	}
package overload
