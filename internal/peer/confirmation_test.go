package peer

import (
	"testing"
	"time"
)

// TestAgeRoundedUp guards against an age that is less after its transfer.
func TestAgeRoundedUp(t *testing.T) {
	for _, age := range []time.Duration{0, 1, 999 * time.Microsecond, time.Second, time.Second + 1} {
		m, err := Decode(Encode(ConfirmationAnswer{Age: age}))
		if err != nil {
			t.Fatal(err)
		}
		if got := m.(ConfirmationAnswer).Age; got < age || got > age+time.Millisecond {
			t.Errorf("%s becomes %s", age, got)
		}
	}
	t.Logf("question %d bytes, answer %d", len(Encode(ConfirmationRequest{ID: 1 << 20})), len(Encode(ConfirmationAnswer{ID: 1 << 20, History: 4, Version: 1 << 20, Age: 2 * time.Second})))
}
