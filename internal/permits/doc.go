// Package permits issues the permits that requests need to targets which limit their
// request rates.
//
// Each limited target has one issuer for all entryds, which is a targetd: the one beside
// the target, or another one on which the entryds agree. Only its answers allow entryds to
// send requests there, so that the limit holds for their sum however the requests are
// spread over them. A new issuer learns of a limit from the requests themselves and
// begins without any permit due, so that a change of the issuer causes no burst. An
// entryd that reaches no targetd issues its own permits for a part of the rate.
//
// # Usage
//
//	i := permits.New()
//	i.Observe(now, peer.RateLimit{Target: "t1/7", Limited: true, PerSecond: 6.5})
//	i.Request(now, conn, m, func(a peer.PermitAnswer) { conn.Send(a) })
//	i.RemoveSender(now, conn) // at the end of the connection
package permits
