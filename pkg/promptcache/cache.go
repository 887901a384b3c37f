package promptcache

import (
	"time"

	"github.com/borageusher/borageusher/pkg/placement"
)

const (
	// MaxPrefixes limits the prefixes that a Cache holds, to 2 to 3 KB of memory. An engine
	// of the users' deployments holds 16 adapters, whose prompts share one or two segments.
	MaxPrefixes = 64
	// MaxAge is the time without use after which a prefix counts as evicted.
	MaxAge = time.Minute
	// minShare is the least share of an engine's requests that is assumed for a process.
	minShare = 0.01
)

// Segment is a part of a prompt that others share.
type Segment struct {
	ID     uint64 // hash of its name
	Tokens int
}

// Prompt is the part of a prompt that others share.
type Prompt struct {
	root     uint64
	prefixes []prefix
}

// prefix is the beginning of a prompt up to the end of a segment.
type prefix struct {
	hash uint64 // of the root and of the segments
	end  int    // tokens
}

// NewPrompt returns the prompt with the given segments, in order. Root identifies the
// model, the adapter and its version. Segments after one without tokens are ignored.
func NewPrompt(root uint64, segments []Segment) Prompt {
	p := Prompt{root: root, prefixes: make([]prefix, 0, len(segments))}
	last := prefix{hash: placement.Mix(root)}
	for _, s := range segments {
		if s.Tokens <= 0 {
			break
		}
		last = prefix{hash: placement.Mix(last.hash ^ s.ID), end: last.end + s.Tokens}
		p.prefixes = append(p.prefixes, last)
	}
	return p
}

// Shared returns the number of tokens of the prompt's segments.
func (p Prompt) Shared() int {
	if len(p.prefixes) == 0 {
		return 0
	}
	return p.prefixes[len(p.prefixes)-1].end
}

// Cache is the estimated content of one engine's cache. The zero value is empty. It is not
// safe for concurrent use.
type Cache struct {
	entries map[uint64]entry // by the prefix's hash
	written float64          // tokens that were added to the engine's cache
}

// entry is the last use of a prefix.
type entry struct {
	root      uint64
	writtenAt float64 // written at that time
	usedAt    time.Time
}

// Held returns the expected number of tokens of a prompt that the engine need not read,
// with room for as many tokens beside those of running requests.
func (c *Cache) Held(now time.Time, p Prompt, room int) int {
	expected := 0.0
	begin := 0
	for _, x := range p.prefixes {
		e, ok := c.entries[x.hash]
		if !ok || !c.fits(e, x, room) {
			break
		}
		left := 1 - float64(now.Sub(e.usedAt))/float64(MaxAge)
		if left <= 0 {
			break
		}
		expected += min(1, left) * float64(x.end-begin)
		begin = x.end
	}
	return int(expected)
}

// fits reports whether a prefix and all that was written since its last use fit into the
// engine's memory.
func (c *Cache) fits(e entry, x prefix, room int) bool {
	return c.written-e.writtenAt+float64(x.end) <= float64(room)
}

// Record records that the engine has read a prompt of so many tokens, of which those after
// the shared segments are its own. share is this process's share of the engine's requests:
// the others add tokens in proportion.
func (c *Cache) Record(now time.Time, p Prompt, tokens int, share float64) {
	added := max(0, tokens-p.Shared())
	begin := 0
	for _, x := range p.prefixes {
		if _, ok := c.entries[x.hash]; !ok {
			added += x.end - begin
		}
		begin = x.end
	}
	c.written += float64(added) / min(1, max(minShare, share))
	if len(p.prefixes) == 0 {
		return
	}
	if c.entries == nil {
		c.entries = map[uint64]entry{}
	}
	for _, x := range p.prefixes[:min(len(p.prefixes), MaxPrefixes)] {
		if _, ok := c.entries[x.hash]; !ok && len(c.entries) >= MaxPrefixes {
			c.evict(now)
		}
		c.entries[x.hash] = entry{root: p.root, writtenAt: c.written, usedAt: now}
	}
}

// evict drops the least recently used prefix, and all that are older than MaxAge.
func (c *Cache) evict(now time.Time) {
	var oldest uint64
	found := false
	for hash, e := range c.entries {
		if now.Sub(e.usedAt) >= MaxAge {
			delete(c.entries, hash)
			continue
		}
		if !found || e.usedAt.Before(c.entries[oldest].usedAt) {
			oldest, found = hash, true
		}
	}
	if len(c.entries) >= MaxPrefixes {
		delete(c.entries, oldest)
	}
}

// Drop records that the engine has unloaded the adapter with the given root.
func (c *Cache) Drop(root uint64) {
	for hash, e := range c.entries {
		if e.root == root {
			delete(c.entries, hash)
		}
	}
}

// Reset records that the engine has restarted.
func (c *Cache) Reset() { *c = Cache{} }
