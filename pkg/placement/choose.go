package placement

// Candidate is one target that may be sent a request.
type Candidate struct {
	Hash     uint64 // of the target's name, from Hash
	Region   string
	InFlight int  // requests sent to it and not yet answered
	Slots    int  // requests that it runs concurrently
	Tried    bool // has already refused this request
	Borrowed bool // belongs to another team
}

// loadBound is the ratio of requests in flight to slots from which a request spills
// to the next target.
const loadBound = 1.25

// Choose returns the index of the candidate for a request whose adapter has the hash
// key, and false if every candidate was tried. It prefers, in this order: a target
// of the caller's region, a target of the caller's team, a target within the load
// bound, the higher rendezvous rank.
func Choose(key uint64, candidates []Candidate, region string) (int, bool) {
	best := -1
	var bestScore score
	for i := range candidates {
		c := &candidates[i]
		if c.Tried {
			continue
		}
		s := scoreOf(key, c, region)
		if best < 0 || s.better(bestScore) {
			best, bestScore = i, s
		}
	}
	return best, best >= 0
}

// score orders candidates, by class and then by rank.
type score struct {
	class int // smaller is better
	rank  uint64
}

func (s score) better(t score) bool {
	if s.class != t.class {
		return s.class < t.class
	}
	return s.rank > t.rank
}

func scoreOf(key uint64, c *Candidate, region string) score {
	class := 0
	if c.Region != region {
		class += 4
	}
	if c.Borrowed {
		class += 2
	}
	if float64(c.InFlight) >= loadBound*float64(c.Slots) {
		class++
	}
	return score{class: class, rank: Mix(key ^ c.Hash)}
}

// Hash returns the 64-bit FNV-1a hash of s.
func Hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= prime
	}
	return h
}

// Mix returns x mixed by the finaliser of SplitMix64 (G. L. Steele, D. Lea and C. H. Flood,
// 2014).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
