package gateway

import (
	"time"

	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/promptcache"
)

const (
	// minCachedShare is the part of a prompt from which on its time to the first event says
	// how much the cache saves, and not how fast the target reads.
	minCachedShare = 0.1
	// meanWeight is the weight of an observation in the means below, as in retry.Mean.
	meanWeight = 0.05
	// promptTargetCount is the number of targets that are remembered for a prompt.
	promptTargetCount = 3
)

// promptSegments returns the shared segments of a prompt, nil if their tokens are not
// known.
func promptSegments(m RequestMeta) []promptcache.Segment {
	if len(m.PromptSegmentTokens) != len(m.PromptSegments) {
		return nil
	}
	var segments []promptcache.Segment
	for i, id := range m.PromptSegments {
		segments = append(segments, promptcache.Segment{ID: placement.Hash(id), Tokens: m.PromptSegmentTokens[i]})
	}
	return segments
}

// promptRoot identifies a version of an adapter, or a model.
func promptRoot(a orders.Adapter, version int64) uint64 {
	return placement.Hash(a.Model+"/"+a.Name) ^ placement.Mix(uint64(version))
}

// promptOf returns the shared part of the call's prompt for the announced version of its
// adapter. The caller holds mu.
func (f *Fleet) promptOf(c *call) promptcache.Prompt {
	if len(c.promptSegments) == 0 {
		return promptcache.Prompt{}
	}
	if version := f.version(c.adapter); c.prompt.Shared() == 0 || c.promptVersion != version {
		c.prompt, c.promptVersion = promptcache.NewPrompt(promptRoot(c.adapter, version), c.promptSegments), version
	}
	return c.prompt
}

// cacheTokens returns the capacity of the engines of a service for tokens, zero if it is
// not known or the service is plain. The caller holds mu.
func (f *Fleet) cacheTokens(service string) int {
	if f.cfg == nil {
		return 0
	}
	e := f.cfg.Services[service].Engine
	if e == nil {
		return 0
	}
	return e.CacheTokens
}

// heldTokens returns the expected number of tokens of a prompt that a target has cached.
// Running requests, of which meanTokens is the mean size, take its memory first.
func (t *targetState) heldTokens(now time.Time, p promptcache.Prompt, capacity int, meanTokens float64) int {
	if p.Shared() == 0 || capacity == 0 {
		return 0
	}
	return t.cache.Held(now, p, capacity-int(float64(t.estimatedLoad(now))*meanTokens))
}

// sentPrompt is what is known of the prompt of an attempt.
type sentPrompt struct {
	prompt promptcache.Prompt
	model  string
	key    uint64 // placementKey of the call
	cached int    // expected tokens that the target need not read
}

// beginPrompt returns what is known of the prompt of a call that is sent to t. The caller
// holds mu.
func (f *Fleet) beginPrompt(now time.Time, t *targetState, c *call) sentPrompt {
	latency := f.latencyOf(c.service)
	if c.model != "" {
		size := float64(c.promptTokens() + c.meta.MaxResponseTokens)
		if latency.requestTokens == 0 {
			latency.requestTokens = size
		}
		latency.requestTokens += meanWeight * (size - latency.requestTokens)
	}
	p := f.promptOf(c)
	return sentPrompt{p, c.model, c.placementKey, t.heldTokens(now, p, f.cacheTokens(c.service), latency.requestTokens)}
}

// endPrompt records that a target has read the prompt of an attempt. It reports whether the
// time until then is that of the whole prompt. The caller holds mu.
func (f *Fleet) endPrompt(now time.Time, t *targetState, a *activeAttempt, tokens int, took time.Duration) (whole bool) {
	latency := f.latencyOf(t.replica.Service)
	if a.sent.prompt.Shared() > 0 && f.cacheTokens(t.replica.Service) > 0 {
		t.cache.Record(now, a.sent.prompt, a.promptTokens, float64(t.inFlight)/float64(max(1, t.estimatedLoad(now))))
		if pool := f.indexOf(t.replica.Service).pool(a.sent.model); pool != nil {
			pool.remember(a.sent.key, t)
		}
	}
	if float64(a.sent.cached) < minCachedShare*float64(a.promptTokens) {
		return true
	}
	read, _ := t.speed.factors(now)
	saving := scale(time.Duration(a.sent.cached)*latency.readTime.Slope(), read)
	latency.cacheGain.Observe(took, scale(latency.readTime.At(tokens), read), saving)
	return false
}

// promptEntry holds the targets that read a prompt last, the latest first.
type promptEntry struct {
	key     uint64
	targets [promptTargetCount]*targetState // nil for none
}

// remember records that a target has read a prompt with the given key.
func (p *targetPool) remember(key uint64, t *targetState) {
	if p.prompts == nil {
		p.prompts = map[uint64]*promptEntry{}
	}
	e := p.prompts[key%homeCacheSize]
	if e == nil || e.key != key {
		e = &promptEntry{key: key}
		p.prompts[key%homeCacheSize] = e
	}
	at := promptTargetCount - 1
	for i, o := range e.targets {
		if o == t {
			at = i
		}
	}
	copy(e.targets[1:at+1], e.targets[:at])
	e.targets[0] = t
}

// addReaders adds the targets to the sample that read a prompt with the call's segments
// last and are expected to have some of it cached. The caller holds mu.
func (f *Fleet) addReaders(now time.Time, p *targetPool, c *call) {
	e := p.prompts[c.placementKey%homeCacheSize]
	if len(c.promptSegments) == 0 || e == nil || e.key != c.placementKey {
		return
	}
	prompt, capacity, meanTokens := f.promptOf(c), f.cacheTokens(c.service), f.latencyOf(c.service).requestTokens
	for _, t := range e.targets {
		if t != nil && t.heldTokens(now, prompt, capacity, meanTokens) > 0 {
			f.sampler.add(t)
		}
	}
}
