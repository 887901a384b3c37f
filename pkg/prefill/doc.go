// Package prefill paces the prompts that many entryds send to one engine.
//
// # Load pattern
//
// An engine reads prompts in pieces between the tokens of the streams that it runs.
// Prompts that arrive in quick succession from entryds that do not know of one
// another therefore delay the next event of every stream on the engine. If the
// engine reads prompts without a break for longer than the allowed gap between two
// events, all of its streams are late, while each of the prompts could have waited
// for a fraction of its own objective.
//
// # Decision
//
// A Queue admits prompts in batches. A batch takes the engine at most budgetShare of
// the allowed gap to read, and the next one begins when the engine has read the last
// prompt of the batch. The engine thus generates tokens without reading prompts at
// least once in each gap, and reads prompts during most of the rest. A prompt that is
// larger than a batch is a batch of its own. Prompts wait in the order of their
// urgency, then of their arrival. The first one begins the next batch, and later ones
// that fit may fill it, so that none waits for ever.
//
// Where prompts make no events late, pacing would only cost time. A Monitor beside each
// engine finds out by the late streams that all entryds report to it; prompts state the
// allowed gap only while it paces. An entryd on its own sees too few streams of each of
// many engines to decide. A prompt that takes longer to read than the allowed gap makes
// events late whether or not prompts are paced, so those that it may have caused don't
// count.
//
// The cost of a call is proportional to the number of prompts that wait for one
// engine.
//
// # Usage
//
//	q := prefill.New()
//	q.Add(now, prefill.Prompt{Key: key, Tokens: 1460, TokenTime: 52 * time.Microsecond, Gap: 300 * time.Millisecond})
//	for _, key := range q.Admit(now) {
//		// the prompt may be sent
//	}
//	q.Remove(key) // its first event has arrived, or its sender has given it up
package prefill
