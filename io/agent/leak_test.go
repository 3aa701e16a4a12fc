package agent

import (
	"testing"

	"go.uber.org/goleak"
)

// Goroutines that outlive their links or requests would accumulate in a process that runs for months.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
