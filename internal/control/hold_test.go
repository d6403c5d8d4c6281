package control_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
)

func TestHold(t *testing.T) {
	for maxLease, want := range map[time.Duration]time.Duration{10 * time.Second: 6 * time.Second, 5 * time.Second: 4500 * time.Millisecond} {
		if got := control.HoldTime(maxLease); got != want {
			t.Errorf("leases up to %v: hold of %v, want %v", maxLease, got, want)
		}
	}
}
