// Package relay decides which processes of an availability zone watch the
// object API and to which peers a process keeps connections over which news
// travels.
//
// Both choices are made by rendezvous hashing (D. Thaler and C. Ravishankar,
// 1998) over the members that a process knows. Processes that know different
// members choose differently for a while; this costs some calls and
// connections and nothing else.
//
// # Usage
//
//	order := relay.WatchOrder(members, "milano-a")
//	groups := relay.Groups(self, members)
package relay
