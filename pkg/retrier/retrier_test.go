package retrier

import (
	"testing"

	"github.com/matryer/is"
)

func TestBudget(t *testing.T) {
	is := is.New(t)
	var b Budget
	retries := 0
	for range 1000 {
		b.RecordRequest("till", "school", 0.1)
		if b.AllowRetry("till", "school") {
			retries++
		}
	}
	is.True(retries >= 99)
	is.True(retries <= 1+100)              // the first one, and a tenth of all
	is.True(b.AllowRetry("till", "club"))  // each workspace has a budget of its own
	is.True(!b.AllowRetry("till", "club")) //
	for range 1000 {
		b.RecordRequest("shop", "school", 0.1) // Old requests do not add up without a bound.
	}
	burst := 0
	for b.AllowRetry("shop", "school") {
		burst++
	}
	is.True(burst <= maxCredit)
}

// Hosts that share a budget save up no more than their parts of it.
func TestSavedRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	b := Budget{MaxCredit: func() float64 { return 4 }}
	for range 1000 {
		b.RecordRequest("s", "", 0.1)
	}
	taken := 0
	for b.AllowRetry("s", "") {
		taken++
	}
	is.Equal(taken, 4)
}
