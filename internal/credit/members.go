package credit

import "time"

// memberTime is how long a process that is lost counts as one that may still spend its part
// of a quota, because a partition of the network looks the same. Partitions last for less;
// after a permanent loss the quota is reduced by the part of the lost processes until then,
// as far as that is more than the tolerated share.
const memberTime = 2 * time.Minute

// members is the highest number of entryds that was known within memberTime.
type members struct {
	highest int
	at      time.Time // when that number was last known
}

// observe records a number and returns the highest one.
func (m *members) observe(now time.Time, n int) int {
	if n >= m.highest || now.Sub(m.at) > memberTime {
		m.highest, m.at = n, now
	}
	return m.highest
}
