package lease

import (
	"testing"
	"time"
)

// Guards against a pool that stays without a holder after its VM died.
func TestSmoke(t *testing.T) {
	s := newSim([]string{"a", "b"}, 2, 2)
	startAll(s, "a", "a", "b")
	s.kill("a1")
	s.runTo(40 * time.Second)
	t.Log("\n" + s.log.String())
}
