// Package confirmation decides for how long a configuration may be relied upon that a
// process has read from a store.
//
// A response of the store shows what was the newest configuration at some time after its
// request was sent. Its age is therefore counted from the sending of the request, never
// from the arrival of the response, which may be late. All times are durations on a clock
// of the VM that also runs while the VM is suspended, such as CLOCK_BOOTTIME; they are
// compared only with each other, so that no two VMs need the same time.
//
// # Usage
//
//	var t confirmation.Tracker
//	t.Observe(confirmation.Response{SentAt: sentAt, List: true, Shown: confirmation.InForce})
//	t.Latest().Within(now, 5*time.Second)
package confirmation
