package link

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine outlives its link: leaked goroutines add up in a process that runs for
// months.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
